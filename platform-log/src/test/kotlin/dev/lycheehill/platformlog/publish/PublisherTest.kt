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
    private val republish = request.copy(base = PublishFixture.base(FoldState.initial()))

    /** Guards against an answer that contradicts the log, and against a patch that runs twice. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `a publish under a fault of the log answers what the log proves`(
        expected: KClass<out PublishResult>,
        runs: Boolean,
        prepare: PublishFixture.() -> Unit,
    ) {
        fixture.prepare()
        val startedNanos = fixture.timers.nowNanos()
        val result = fixture.publish()
        val limits = PublishLimits()
        val limitMs =
            limits.appendTimeoutMs + limits.fenceTimeoutMs + 2 * (limits.searchTimeoutMs + CALL_TIMEOUT_MS) + limits.inForceTimeoutMs
        expectThat(result).get { this::class }.isEqualTo(expected)
        expectThat((fixture.timers.nowNanos() - startedNanos) / 1_000_000).isLessThanOrEqualTo(limitMs)
        fixture.timers.advance(60_000)
        val versions =
            fixture
                .folded()
                .history.values
                .count { it == PatchId.of(0, FoldState.initial().contentHash, request.text).value }
        expectThat(versions).isEqualTo(if (runs) 1 else 0)
    }

    @Test
    fun `an accepted version that is not in force everywhere names the zones that lag`() {
        fixture.count = InForceCount(nodes = 4, nodesInForce = 3, laggingZones = setOf("lakes-b"))
        val result = fixture.publish()
        expectThat(result.exitCode).isEqualTo(3)
        expectThat(result.message).isEqualTo("accepted as version 1 and in force on 3 of 4 nodes; lagging: lakes-b")
    }

    @Test
    fun `the loser of a race is told the new version`() {
        fixture.append("[services.b]")
        expectThat(fixture.publish()).isA<PublishResult.Refused>().and {
            get { exitCode }.isEqualTo(4)
            get { neverSent }.isFalse()
            get { reason }.contains("the current version is 1")
        }
    }

    @Test
    fun `a late landing behind a fence does not run`() {
        var held = ByteArray(0)
        fixture.onAppend = { payload -> if (PublishFixture.isFence(payload)) null else PublishFixture.LOST.also { held = payload } }
        expectThat(fixture.publish()).isA<PublishResult.Refused>()
        fixture.log.store.append(Streams.CONFIG, held)
        expectThat(fixture.folded().version).isEqualTo(0)
    }

    @Test
    fun `an unknown outcome names the command that finds it out`() {
        fixture.onAppend = { PublishFixture.LOST }
        val result = fixture.publish()
        expectThat(result.exitCode).isEqualTo(5)
        val id = PatchId.of(0, FoldState.initial().contentHash, request.text)
        expectThat(result.message).contains("find out with: status $id")
        expectThat(fixture.publisher().status(id)).isA<PublishResult.NotKnownYet>()
        fixture.append(request.text)
        expectThat(fixture.publisher().status(id)).isA<PublishResult.InForce>()
    }

    @Test
    fun `a second publish of an accepted patch appends nothing`() {
        fixture.publish()
        fixture.nodeState = fixture.folded()
        expectThat(fixture.publish(republish)).isEqualTo(fixture.publish(republish)).isA<PublishResult.InForce>()
        expectThat(fixture.folded().nextOffset).isEqualTo(1)
    }

    /** The first publish may still land, so "never sent" by the second would be false. */
    @Test
    fun `a second publish that sends nothing does not claim that the patch was not run`() {
        val publisher = fixture.publisher()
        var held = ByteArray(0)
        fixture.onAppend = { payload -> PublishFixture.LOST.also { if (!PublishFixture.isFence(payload)) held = payload } }
        expectThat(publisher.publish(request)).isA<PublishResult.NotKnownYet>()
        fixture.onAppend = { null }
        fixture.log.faults = LogFaults(outage = true)
        expectThat(publisher.publish(request)).isA<PublishResult.NotKnownYet>()
        expectThat(fixture.publish(republish)).isA<PublishResult.NotKnownYet>()
        fixture.log.store.append(Streams.CONFIG, held)
        expectThat(fixture.folded().version).isEqualTo(1)
    }

    @Test
    fun `a patch for another hash or an invalid patch is refused before it is sent`() {
        listOf(request.copy(base = PatchBase(0, "0".repeat(64))), request.copy(text = "x = 1")).forEach {
            expectThat(fixture.publish(it)).isA<PublishResult.Refused>()
        }
        expectThat(fixture.publish(request.copy(text = "x = 1"))).isA<PublishResult.Refused>().get { neverSent }.isTrue()
        expectThat(fixture.folded().nextOffset).isEqualTo(0)
    }

    companion object {
        private const val CALL_TIMEOUT_MS = 2_000L
        private val inForce = PublishResult.InForce::class
        private val refused = PublishResult.Refused::class
        private val notKnown = PublishResult.NotKnownYet::class

        private fun case(
            name: String,
            expected: KClass<out PublishResult>,
            runs: Boolean,
            prepare: PublishFixture.() -> Unit,
        ) = arguments(expected, runs, named(name, prepare))

        @JvmStatic
        fun cases() =
            listOf(
                case("no fault", inForce, runs = true) {},
                case("an outage", refused, runs = false) { log.faults = LogFaults(outage = true) },
                case("an outage that ends", inForce, runs = true) { fault(LogFaults(outage = true), durationMs = 2_000) },
                case("lost answers", inForce, runs = true) { log.faults = LogFaults(loseAnswers = true) },
                case("lost answers and slow calls", inForce, runs = true) {
                    log.faults = LogFaults(loseAnswers = true, delayMs = 300)
                },
                case("appends that land late", inForce, runs = true) { fault(LogFaults(delayMs = 3_000), durationMs = 4_000) },
                case("appends that land after all limits", notKnown, runs = true) { log.faults = LogFaults(delayMs = 30_000) },
                case("a first append that lands after the second", inForce, runs = true) {
                    fault(LogFaults(delayMs = 20_000), durationMs = 1_000)
                },
                case("no append permitted", refused, runs = false) { log.faults = LogFaults(maxAppendsPerS = 0) },
                case("a low append rate", inForce, runs = true) {
                    log.faults = LogFaults(maxAppendsPerS = 1)
                    log.append("other", ByteArray(0))
                },
                case("patches lost, fences not", refused, runs = false) {
                    onAppend = { payload -> PublishFixture.LOST.takeUnless { PublishFixture.isFence(payload) } }
                },
                case("all appends lost", notKnown, runs = false) { onAppend = { PublishFixture.LOST } },
                case("an outage after the append", notKnown, runs = true) {
                    onAppend = { log.append(Streams.CONFIG, it).also { log.faults = LogFaults(outage = true) } }
                },
                case("an outage after the append, and a node that hears from peers", inForce, runs = true) {
                    onAppend = { log.append(Streams.CONFIG, it).also { log.faults = LogFaults(outage = true) } }
                    timers.after(1_500) { nodeState = folded() }
                },
                case("another patch first", refused, runs = false) { append("[services.b]") },
                case("the same patch first", inForce, runs = true) { append(PublishFixture.TEXT) },
                case("a fence first", refused, runs = false) {
                    val id = PublishFixture.record(PublishFixture.TEXT, nodeState).patchId
                    log.store.append(Streams.CONFIG, RecordCodec.encode(FenceRecord(patchId = id)))
                },
                case("a log that is shorter than the node's", notKnown, runs = true) { nodeState = nodeState.copy(nextOffset = 9) },
                case("a log whose records were dropped", notKnown, runs = true) {
                    repeat(3) { log.store.append(Streams.CONFIG, ByteArray(1)) }
                    log.store.retain(0)
                },
                case("dropped records and a snapshot in the log", inForce, runs = true) {
                    val folded = folded().copy(nextOffset = 3, chainHash = "1".repeat(64))
                    val parts = SnapshotCodec.encode(Snapshot(folded)).getOrNull().orEmpty()
                    repeat(3) { log.store.append(Streams.CONFIG, ByteArray(1)) }
                    log.store.retain(0)
                    parts.forEach { log.store.append(Streams.SNAPSHOTS, it) }
                },
                case("a stopped fold", refused, runs = false) { nodeState = nodeState.copy(stoppedReason = "format 2") },
            )
    }
}
