package dev.lycheehill.platformlog.publish

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.FenceRecord
import dev.lycheehill.config.log.PatchId
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.config.log.Streams
import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotCodec
import dev.lycheehill.platformlog.memory.LogFaults
import org.junit.jupiter.api.Named.named
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.reflect.KClass

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PublisherTest {
    private val fixture = PublishFixture()
    private val request = PublishRequest(PublishFixture.TEXT)
    private val requestWithBase = request.copy(base = PublishFixture.base(FoldState.initial()))

    /**
     * Guards against a result that contradicts the log, a publish that exceeds its timeouts, and a patch that is accepted
     * twice, when calls to the log fail, are delayed or lose their responses.
     */
    @ParameterizedTest
    @MethodSource("cases")
    fun `the result of a publish under a fault of the log agrees with the log`(
        expected: KClass<out PublishResult>,
        isAccepted: Boolean,
        prepare: PublishFixture.() -> Unit,
    ) {
        fixture.prepare()
        val startNanos = fixture.timers.nowNanos()
        val result = fixture.publish()
        val limits = PublishLimits()
        val limitMs =
            limits.appendTimeoutMs + limits.fenceTimeoutMs + 2 * (limits.searchTimeoutMs + CALL_TIMEOUT_MS) + limits.inForceTimeoutMs
        expectThat(result).get { this::class }.isEqualTo(expected)
        expectThat((fixture.timers.nowNanos() - startNanos) / 1_000_000).isLessThanOrEqualTo(limitMs)
        fixture.timers.advance(60_000)
        val acceptedCount =
            fixture
                .foldLog()
                .history.values
                .count { it == PatchId.of(0, FoldState.initial().contentHash, request.text).value }
        expectThat(acceptedCount).isEqualTo(if (isAccepted) 1 else 0)
    }

    @Test
    fun `the result of a version that is not in force on all nodes names the lagging zones`() {
        fixture.inForceCount = InForceCount(nodes = 4, nodesInForce = 3, laggingZones = setOf("zone-b"))
        val result = fixture.publish()
        expectThat(result.exitCode).isEqualTo(3)
        expectThat(result.message).isEqualTo("accepted as version 1 and in force on 3 of 4 nodes; lagging: zone-b")
    }

    @Test
    fun `a publish that loses a race is refused with the current version`() {
        fixture.appendPatch("[services.b]")
        expectThat(fixture.publish()).isA<PublishResult.Refused>().and {
            get { exitCode }.isEqualTo(4)
            get { neverSent }.isFalse()
            get { reason }.contains("the current version is 1")
        }
    }

    /** Guards against a patch that is accepted after it was reported as refused, because a delayed append takes effect. */
    @Test
    fun `a patch that is appended after its fence is not accepted`() {
        var lostPayload = ByteArray(0)
        fixture.onAppend = { payload -> if (PublishFixture.isFence(payload)) null else PublishFixture.LOST.also { lostPayload = payload } }
        expectThat(fixture.publish()).isA<PublishResult.Refused>()
        fixture.log.store.append(Streams.CONFIG, lostPayload)
        expectThat(fixture.foldLog().version).isEqualTo(0)
    }

    @Test
    fun `the result for an unknown outcome names the command that queries it`() {
        fixture.onAppend = { PublishFixture.LOST }
        val result = fixture.publish()
        expectThat(result.exitCode).isEqualTo(5)
        val id = PatchId.of(0, FoldState.initial().contentHash, request.text)
        expectThat(result.message).contains("find out with: status $id")
        expectThat(fixture.publisher().status(id)).isA<PublishResult.NotKnownYet>()
        fixture.appendPatch(request.text)
        expectThat(fixture.publisher().status(id)).isA<PublishResult.InForce>()
    }

    @Test
    fun `a second publish of an accepted patch appends nothing`() {
        fixture.publish()
        fixture.nodeState = fixture.foldLog()
        expectThat(fixture.publish(requestWithBase)).isEqualTo(fixture.publish(requestWithBase)).isA<PublishResult.InForce>()
        expectThat(fixture.foldLog().nextOffset).isEqualTo(1)
    }

    /** Guards against a false "never sent": an append of the first publish may still take effect when the second cannot send. */
    @Test
    fun `a second publish that sends nothing reports an unknown outcome`() {
        val publisher = fixture.publisher()
        var lostPayload = ByteArray(0)
        fixture.onAppend = { payload -> PublishFixture.LOST.also { if (!PublishFixture.isFence(payload)) lostPayload = payload } }
        expectThat(publisher.publish(request)).isA<PublishResult.NotKnownYet>()
        fixture.onAppend = { null }
        fixture.log.faults = LogFaults(outage = true)
        expectThat(publisher.publish(request)).isA<PublishResult.NotKnownYet>()
        expectThat(fixture.publish(requestWithBase)).isA<PublishResult.NotKnownYet>()
        fixture.log.store.append(Streams.CONFIG, lostPayload)
        expectThat(fixture.foldLog().version).isEqualTo(1)
    }

    @Test
    fun `a patch with a wrong base hash and an invalid patch are refused without an append`() {
        listOf(request.copy(base = PatchBase(0, "0".repeat(64))), request.copy(text = "x = 1")).forEach {
            expectThat(fixture.publish(it)).isA<PublishResult.Refused>()
        }
        expectThat(fixture.publish(request.copy(text = "x = 1"))).isA<PublishResult.Refused>().get { neverSent }.isTrue()
        expectThat(fixture.foldLog().nextOffset).isEqualTo(0)
    }

    companion object {
        private const val CALL_TIMEOUT_MS = 2_000L
        private val inForce = PublishResult.InForce::class
        private val refused = PublishResult.Refused::class
        private val notKnownYet = PublishResult.NotKnownYet::class

        private fun case(
            name: String,
            expected: KClass<out PublishResult>,
            isAccepted: Boolean,
            prepare: PublishFixture.() -> Unit,
        ) = arguments(expected, isAccepted, named(name, prepare))

        @JvmStatic
        fun cases() =
            listOf(
                case("no fault", inForce, isAccepted = true) {},
                case("an outage", refused, isAccepted = false) { log.faults = LogFaults(outage = true) },
                case("an outage that ends", inForce, isAccepted = true) { injectFaults(LogFaults(outage = true), durationMs = 2_000) },
                case("lost responses", inForce, isAccepted = true) { log.faults = LogFaults(loseResponses = true) },
                case("lost responses and slow calls", inForce, isAccepted = true) {
                    log.faults = LogFaults(loseResponses = true, delayMs = 300)
                },
                case("late appends", inForce, isAccepted = true) { injectFaults(LogFaults(delayMs = 3_000), durationMs = 4_000) },
                case("appends after all timeouts", notKnownYet, isAccepted = true) { log.faults = LogFaults(delayMs = 30_000) },
                case("a first append that takes effect after the second", inForce, isAccepted = true) {
                    injectFaults(LogFaults(delayMs = 20_000), durationMs = 1_000)
                },
                case("no append permitted", refused, isAccepted = false) { log.faults = LogFaults(maxAppendsPerS = 0) },
                case("a low append rate", inForce, isAccepted = true) {
                    log.faults = LogFaults(maxAppendsPerS = 1)
                    // Uses up the append that the rate permits; the rate holds for all streams together.
                    log.append("other", ByteArray(0))
                },
                case("appends of the patch lost, appends of the fence not", refused, isAccepted = false) {
                    onAppend = { payload -> PublishFixture.LOST.takeUnless { PublishFixture.isFence(payload) } }
                },
                case("all appends lost", notKnownYet, isAccepted = false) { onAppend = { PublishFixture.LOST } },
                case("an outage after the append", notKnownYet, isAccepted = true) {
                    onAppend = { log.append(Streams.CONFIG, it).also { log.faults = LogFaults(outage = true) } }
                },
                case("an outage after the append, and a node that receives the record from peers", inForce, isAccepted = true) {
                    onAppend = { log.append(Streams.CONFIG, it).also { log.faults = LogFaults(outage = true) } }
                    timers.after(1_500) { nodeState = foldLog() }
                },
                case("another patch appended first", refused, isAccepted = false) { appendPatch("[services.b]") },
                case("the same patch appended first", inForce, isAccepted = true) { appendPatch(PublishFixture.TEXT) },
                case("a fence appended first", refused, isAccepted = false) {
                    val id = PublishFixture.record(PublishFixture.TEXT, nodeState).patchId
                    log.store.append(Streams.CONFIG, RecordCodec.encode(FenceRecord(patchId = id)))
                },
                case("a node that has read beyond the end of the log", notKnownYet, isAccepted = true) {
                    nodeState = nodeState.copy(nextOffset = 9)
                },
                case("a log whose records are no longer retained", notKnownYet, isAccepted = true) {
                    repeat(3) { log.store.append(Streams.CONFIG, ByteArray(1)) }
                    log.store.retain(0)
                },
                case("records no longer retained, and a snapshot in the log", inForce, isAccepted = true) {
                    val folded = foldLog().copy(nextOffset = 3, chainHash = "1".repeat(64))
                    val parts = SnapshotCodec.encode(Snapshot(folded)).getOrNull().orEmpty()
                    repeat(3) { log.store.append(Streams.CONFIG, ByteArray(1)) }
                    log.store.retain(0)
                    parts.forEach { log.store.append(Streams.SNAPSHOTS, it) }
                },
                case("a fold that stopped at a record of an unknown format", refused, isAccepted = false) {
                    nodeState = nodeState.copy(stoppedReason = "format 2")
                },
            )
    }
}
