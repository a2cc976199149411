package dev.lycheehill.config.fold

import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchId
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import org.junit.jupiter.api.Named.named
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isSameInstanceAs
import strikt.assertions.startsWith
import kotlin.random.Random

class ConfigFoldTest {
    /** Guards against a refused patch that changes the version, and against a wrong outcome reported for the patch. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("refused")
    fun `a refused patch leaves the version unchanged and has the outcome refused`(
        prepare: (LogBuilder) -> PatchRecord,
        expected: String,
    ) {
        val log = LogBuilder().append(LogBuilder().patch(service("a")))
        val record = prepare(log)
        val before = log.state
        log.append(record)
        expectThat(log.state) {
            get { version }.isEqualTo(before.version)
            get { content }.isEqualTo(before.content)
            get { nextOffset }.isEqualTo(before.nextOffset + 1)
            get { outcomeOf(PatchId.parse(record.patchId)!!) }
                .isA<PatchOutcome.Refused>()
                .get { reason }
                .startsWith(expected)
        }
    }

    /** Guards against the loss of the first patch when two operators publish against the same version. */
    @Test
    fun `of two patches against one version the first in the log is accepted`() {
        val log = LogBuilder()
        val first = log.patch(service("a"))
        val second = log.patch(service("b"))
        log.append(first).append(second)
        expectThat(log.state) {
            get { version }.isEqualTo(1)
            get { content.services.keys }.containsExactly("a")
            get { outcomeOf(PatchId.parse(first.patchId)!!) }.isEqualTo(PatchOutcome.Accepted(1))
        }
    }

    /** Guards against a patch that is applied twice, because its append was repeated after a lost response. */
    @Test
    fun `a second copy of an accepted patch makes no second version`() {
        val log = LogBuilder()
        val record = log.patch(service("a"))
        log
            .append(record)
            .append(record)
            .append(log.patch(service("b")))
            .append(record)
        expectThat(log.state.version).isEqualTo(2)
        expectThat(log.state.outcomeOf(PatchId.parse(record.patchId)!!)).isEqualTo(PatchOutcome.Accepted(1))
    }

    /** Guards against the outcome refused for a patch whose base version does not exist yet: the patch may be accepted later. */
    @Test
    fun `a patch against a future version has no known outcome and may still be accepted`() {
        val log = LogBuilder()
        val nextLog = LogBuilder().append(log.patch(service("a")))
        val futurePatch = nextLog.patch(service("b"))
        log.append(futurePatch)
        expectThat(log.state.outcomeOf(PatchId.parse(futurePatch.patchId)!!)).isEqualTo(PatchOutcome.NotKnownYet)
        log.append(log.patch(service("a")))
        expectThat(log.state.outcomeOf(PatchId.parse(futurePatch.patchId)!!)).isEqualTo(PatchOutcome.NotKnownYet)
        log.append(futurePatch)
        expectThat(log.state.outcomeOf(PatchId.parse(futurePatch.patchId)!!)).isEqualTo(PatchOutcome.Accepted(2))
    }

    /** Guards against the outcome refused for a patch that was accepted before its fence. */
    @Test
    fun `a fence after an accepted patch has no effect`() {
        val log = LogBuilder()
        val record = log.patch(service("a"))
        log.append(record).fence(record.patchId)
        expectThat(log.state.outcomeOf(PatchId.parse(record.patchId)!!)).isEqualTo(PatchOutcome.Accepted(1))
        expectThat(log.state.fences).isEmpty()
    }

    /** Guards against an unbounded set of fences, and against a fenced patch that is accepted after its fence is dropped. */
    @Test
    fun `too many fences make a version with the same content, and a fenced patch stays refused`() {
        val log = LogBuilder()
        val record = log.patch(service("a"))
        log.fence(record.patchId)
        repeat(FoldLimits.MAX_FENCES - 1) { log.fence(log.patch(service("b", it + 1)).patchId) }
        expectThat(log.state.version).isEqualTo(0)
        log.fence(log.patch(service("c")).patchId).append(record)
        expectThat(log.state) {
            get { version }.isEqualTo(1)
            get { fences }.isEmpty()
            get { outcomeOf(PatchId.parse(record.patchId)!!) }.isA<PatchOutcome.Refused>()
        }
    }

    /** Guards against a wrong outcome for a patch whose version is no longer in the history. */
    @Test
    fun `the outcome of a patch older than the history is too old to tell`() {
        val log = LogBuilder()
        val first = log.patch(service("a"))
        log.append(first)
        repeat(FoldLimits.MAX_HISTORY_VERSIONS) { log.append(log.patch(service("a", it % 100 + 1))) }
        expectThat(log.state.history).hasSize(FoldLimits.MAX_HISTORY_VERSIONS)
        expectThat(log.state.outcomeOf(PatchId.parse(first.patchId)!!)).isEqualTo(PatchOutcome.TooOldToTell)
        expectThat(log.state.outcomeOf(PatchId.parse(log.state.history[2]!!)!!)).isEqualTo(PatchOutcome.Accepted(2))
    }

    /** Guards against an unbounded map of refusals, and against the outcome accepted for a patch whose refusal was evicted. */
    @Test
    fun `a patch whose refusal was evicted has no known outcome`() {
        val log = LogBuilder()
        val invalid = log.patch("nonsense = 1")
        log.append(invalid)
        repeat(FoldLimits.MAX_REFUSALS) { log.append(log.patch("nonsense = ${it + 2}")) }
        expectThat(log.state.refusals).hasSize(FoldLimits.MAX_REFUSALS)
        expectThat(log.state.outcomeOf(PatchId.parse(invalid.patchId)!!)).isEqualTo(PatchOutcome.NotKnownYet)
    }

    /** Guards against a fold that skips the records of a later release and so diverges from it. */
    @Test
    fun `a record of unknown format stops the fold and keeps the version`() {
        val log = LogBuilder().append(LogBuilder().patch(service("a")))
        val offset = log.state.nextOffset
        // CBOR of {"format": 2, "x": true}
        log.append(byteArrayOf(0xa2.toByte(), 0x66) + "format".toByteArray() + byteArrayOf(2, 0x61, 'x'.code.toByte(), 0xf5.toByte()))
        log.append(log.patch(service("b")))
        expectThat(log.state) {
            get { version }.isEqualTo(1)
            get { nextOffset }.isEqualTo(offset)
            get { stoppedReason }.isNotNull().startsWith("record at offset 1 has format 2")
        }
    }

    /** Guards against entries that are folded twice or out of order. */
    @Test
    fun `an entry that is not the next one leaves the state unchanged`() {
        val log = LogBuilder().append(LogBuilder().patch(service("a")))
        listOf(0L, 5L).forEach { offset ->
            expectThat(ConfigFold.apply(log.state, LogEntry(offset, byteArrayOf(1)))).isSameInstanceAs(log.state)
        }
    }

    /** Guards against a record that makes the fold throw an exception, which would stop every node. */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `random and damaged records are counted and cause no exception`(seed: Int) {
        println("seed $seed")
        val random = Random(seed)
        val log = LogBuilder()
        val valid =
            dev.lycheehill.config.log.RecordCodec
                .encode(log.patch(service("a")))
        repeat(2_000) {
            val bytes = if (it % 2 == 0) random.nextBytes(random.nextInt(200)) else damaged(valid, random)
            log.state = log.state.copy(stoppedReason = null)
            log.append(bytes)
        }
        expectThat(log.state.content.services.keys - "a").isEmpty()
        expectThat(log.state.malformedRecords).isGreaterThan(1_000)
    }

    /** Guards against a stack overflow or a long stall in the TOML parser, which could occur on some nodes only. */
    @ParameterizedTest
    @MethodSource("maliciousTexts")
    fun `a malicious text is refused`(text: String) {
        val log = LogBuilder()
        val record = log.patch(text)
        log.append(record)
        expectThat(log.state.outcomeOf(PatchId.parse(record.patchId)!!)).isA<PatchOutcome.Refused>()
    }

    private fun damaged(
        valid: ByteArray,
        random: Random,
    ) = valid.copyOf(random.nextInt(valid.size) + 1).also { bytes ->
        repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
    }

    companion object {
        @JvmStatic
        fun seeds() = listOf(1, 2, 3)

        @JvmStatic
        fun maliciousTexts() =
            listOf(
                "a = " + "[".repeat(65_000),
                "a = " + "[".repeat(32_000) + "]".repeat(32_000),
                "a = " + "{a=".repeat(21_000),
                "a = " + "{a=".repeat(15_000) + "1" + "}".repeat(15_000),
                "[" + "a.".repeat(30_000) + "a]",
                "a.".repeat(30_000) + "a = 1",
                "a = " + "9".repeat(65_000),
                "a = 1e" + "9".repeat(60_000),
                "\"".repeat(65_001),
                "[services]\n" + "x.y = 1\n".repeat(8_000),
                (0..3_000).joinToString("\n") { "[routes.r$it]" },
            )

        @JvmStatic
        fun refused() =
            listOf(
                row("base version is out of date", "version 2 was made by patch 1-") { log ->
                    log.patch(service("b")).also { log.append(log.patch(service("c"))) }
                },
                row("base hash of another version", "base hash is not that of version 1") { log ->
                    PatchRecord.of(log.state.version, FoldState.initial().contentHash, service("b"))
                },
                row("appended after its fence", "fenced before") { log ->
                    log.patch(service("b")).also { log.fence(it.patchId) }
                },
                row("appended after its fence and another version", "version 2 was made by patch 1-") { log ->
                    log.patch(service("b")).also { log.fence(it.patchId).append(log.patch(service("c"))) }
                },
                row("invalid patch", "patch:2: services.b.timeout_ms: must be") { log -> log.patch(service("b", 0)) },
                row("unknown key", "patch:1: service: unknown key") { log -> log.patch("service = 1") },
                row("patch above the size limit", "patch: the patch has 65537 bytes") { log ->
                    log.patch(service("b").let { it + "#".repeat(65_537 - it.length) })
                },
                row("empty patch", "patch: the patch is empty") { log -> log.patch("# nothing") },
                row("route to a missing service", "patch:2: routes.r.weights.zz: the resulting version has no service") { log ->
                    log.patch("[routes.r]\nweights = { zz = 1 }")
                },
            )

        private fun row(
            name: String,
            reason: String,
            prepare: (LogBuilder) -> PatchRecord,
        ) = arguments(named(name, prepare), reason)
    }
}
