package dev.lycheehill.platformlog.publish

import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.DecodedRecord
import dev.lycheehill.config.log.FenceRecord
import dev.lycheehill.config.log.HomeEpochRecord
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/**
 * Guards against a patch that is accepted twice, and against a result that the log contradicts, when several operators
 * publish concurrently. The log fails, publishers crash, and appends take effect late.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PublishHistoryTest {
    private val resultCounts = mutableMapOf<String, Int>()

    @Test
    fun `results of concurrent publishers agree with a sequential model of the log`() {
        println("seeds ${SEEDS.first}..${SEEDS.last}")
        SEEDS.forEach { seed -> checkHistory(seed, History(seed).also { it.run() }) }
        println("results $resultCounts")
        // Each kind of result must occur, because the test would pass without checking a kind that does not.
        listOf("InForce", "Refused", "NeverSent", "NotKnownYet", "again").forEach { expectThat(resultCounts[it] ?: 0).isGreaterThan(10) }
    }

    private fun checkHistory(
        seed: Int,
        history: History,
    ) {
        val expected = expectedVersions(history.log.entries())
        val state = history.log.entries().fold(FoldState.initial(), ConfigFold::apply)
        expectThat(state.history.toMap()).describedAs("versions in the fold state, seed $seed").isEqualTo(expected)
        expectThat(expected.values.groupBy { it }.filterValues { it.size > 1 }).describedAs("patches accepted twice, seed $seed").isEmpty()
        history.results.forEach { result ->
            val error = findContradiction(result, expected)
            expectThat(error).describedAs("seed $seed, $result").isEqualTo(null)
            resultCounts.merge(resultName(result), 1, Int::plus)
        }
        resultCounts.merge("again", history.republishCount, Int::plus)
    }

    /** Returns the expected patch ids by version, derived from the order of the records alone. All patches of the test are valid. */
    private fun expectedVersions(entries: List<LogEntry>): Map<Long, String> {
        val expected = LinkedHashMap<Long, String>()
        val fences = mutableSetOf<String>()
        entries.map { (RecordCodec.decode(it.payload) as DecodedRecord.Known).record }.forEach { record ->
            when (record) {
                is FenceRecord -> fences += record.patchId
                is HomeEpochRecord -> error("unexpected home epoch record; the operators publish patches only")
                is PatchRecord ->
                    if (record.baseVersion == expected.size.toLong() && record.patchId !in fences) {
                        expected[expected.size + 1L] = record.patchId
                    }
            }
        }
        return expected
    }

    private fun findContradiction(
        result: PublishResult,
        expected: Map<Long, String>,
    ): String? =
        when (result) {
            is PublishResult.InForce -> "the log has another patch as this version".takeIf { expected[result.version] != result.patchId }
            is PublishResult.PartlyInForce -> "the result is not in force on all nodes, although all nodes report the version"
            is PublishResult.Refused -> "the patch was accepted".takeIf { result.patchId in expected.values }
            is PublishResult.NotKnownYet -> null
        }

    private fun resultName(result: PublishResult): String =
        if (result is PublishResult.Refused && result.neverSent) "NeverSent" else result::class.simpleName.orEmpty()

    /** History of four operators that publish concurrently. Each uses a node of its own, which lags behind the log. */
    private class History(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val simulation = Simulation(random)
        val log = FaultInjectingLog(simulation, random, faultPercent = listOf(0, 5, 30, 80)[seed % 4])
        val results = mutableListOf<PublishResult>()
        var republishCount = 0

        fun run() {
            repeat(4) { operator -> simulation.addActor { runOperator(operator) } }
            simulation.addActor {
                repeat(8) {
                    simulation.sleep(random.nextLong(15_000))
                    log.drawPhase()
                }
                log.faultPhase = null
            }
            simulation.run()
        }

        private fun runOperator(operator: Int) {
            var state = FoldState.initial()
            var base: FoldState? = null
            val node =
                FoldStateSource {
                    val unread = log.entries().drop(state.nextOffset.toInt())
                    state = unread.take(random.nextInt(unread.size + 1)).fold(state, ConfigFold::apply)
                    // A publish without a base version uses the first state that the node returns to it.
                    state.also { if (base == null) base = it }
                }
            repeat(4) { round ->
                simulation.sleep(random.nextLong(3_000))
                val text = "[services.s$operator]\ntimeout_ms = ${round + 1}"
                base = null
                val publisher = publisher(node)
                val first = publish(publisher, PublishRequest(text))
                // After a crash or an unknown outcome, the operator publishes again, in the same process or in a new one.
                if (first == null || first is PublishResult.NotKnownYet) republish(node, publisher, text, base!!, first)
            }
        }

        private fun republish(
            node: FoldStateSource,
            publisher: Publisher,
            text: String,
            baseState: FoldState,
            first: PublishResult?,
        ) {
            republishCount++
            val secondPublisher = if (first != null && random.nextBoolean()) publisher else publisher(node)
            publish(secondPublisher, PublishRequest(text, base = PatchBase(baseState.version, baseState.contentHash)))
        }

        private fun publish(
            publisher: Publisher,
            request: PublishRequest,
        ): PublishResult? =
            try {
                publisher.publish(request).also { results += it }
            } catch (_: FaultInjectingLog.PublisherCrash) {
                null
            }

        private fun publisher(node: FoldStateSource) = Publisher(log, node, { InForceCount(1, 1) }, simulation.timers, random, simulation)
    }

    private companion object {
        val SEEDS = 1..400
    }
}
