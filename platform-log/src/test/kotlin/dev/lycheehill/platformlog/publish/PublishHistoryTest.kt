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
 * Guards against a patch that runs twice, and against an answer that the log contradicts, when several operators publish
 * at once under faults of the log, crashes and late appends.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PublishHistoryTest {
    private val answers = mutableMapOf<String, Int>()

    @Test
    fun `answers of concurrent publishers agree with a sequential model of versions`() {
        println("seeds ${SEEDS.first}..${SEEDS.last}")
        SEEDS.forEach { seed -> check(seed, History(seed).also { it.run() }) }
        println("answers $answers")
        // Each kind of answer must occur, or the check would pass without having checked it.
        listOf("InForce", "Refused", "NeverSent", "NotKnownYet", "again").forEach { expectThat(answers[it] ?: 0).isGreaterThan(10) }
    }

    private fun check(
        seed: Int,
        history: History,
    ) {
        val winners = model(history.log.entries())
        val state = history.log.entries().fold(FoldState.initial(), ConfigFold::apply)
        expectThat(state.history.toMap()).describedAs("versions of the fold, seed $seed").isEqualTo(winners)
        expectThat(winners.values.groupBy { it }.filterValues { it.size > 1 }).describedAs("patches run twice, seed $seed").isEmpty()
        history.results.forEach { result ->
            val error = contradiction(result, winners)
            expectThat(error).describedAs("seed $seed, $result").isEqualTo(null)
            answers.merge(nameOf(result), 1, Int::plus)
        }
        answers.merge("again", history.republished, Int::plus)
    }

    /** Versions by number, from the order of the records alone. All patches of the histories are valid. */
    private fun model(entries: List<LogEntry>): Map<Long, String> {
        val winners = LinkedHashMap<Long, String>()
        val fences = mutableSetOf<String>()
        entries.map { (RecordCodec.decode(it.payload) as DecodedRecord.Known).record }.forEach { record ->
            when (record) {
                is FenceRecord -> fences += record.patchId
                is HomeEpochRecord -> error("the histories publish no home epochs")
                is PatchRecord ->
                    if (record.baseVersion == winners.size.toLong() && record.patchId !in fences) {
                        winners[winners.size + 1L] = record.patchId
                    }
            }
        }
        return winners
    }

    private fun contradiction(
        result: PublishResult,
        winners: Map<Long, String>,
    ): String? =
        when (result) {
            is PublishResult.InForce -> "no such version".takeIf { winners[result.version] != result.patchId }
            is PublishResult.PartlyInForce -> "not all in force"
            is PublishResult.Refused -> "the patch was run".takeIf { result.patchId in winners.values }
            is PublishResult.NotKnownYet -> null
        }

    private fun nameOf(result: PublishResult): String =
        if (result is PublishResult.Refused && result.neverSent) "NeverSent" else result::class.simpleName.orEmpty()

    /** Four operators, each with a node of its own that lags behind the log. */
    private class History(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val simulation = Simulation(random)
        val log = FaultInjectingLog(simulation, random, faultPercent = listOf(0, 5, 30, 80)[seed % 4])
        val results = mutableListOf<PublishResult>()
        var republished = 0

        fun run() {
            repeat(4) { operator -> simulation.actor { operate(operator) } }
            simulation.actor {
                repeat(8) {
                    simulation.sleep(random.nextLong(15_000))
                    log.nextPhase()
                }
                log.phase = null
            }
            simulation.run()
        }

        private fun operate(operator: Int) {
            var state = FoldState.initial()
            var base: FoldState? = null
            val node =
                FoldStateSource {
                    val unread = log.entries().drop(state.nextOffset.toInt())
                    state = unread.take(random.nextInt(unread.size + 1)).fold(state, ConfigFold::apply)
                    // A publish without a base takes the first state that it asks for.
                    state.also { if (base == null) base = it }
                }
            repeat(4) { round ->
                simulation.sleep(random.nextLong(3_000))
                val text = "[services.s$operator]\ntimeout_ms = ${round + 1}"
                base = null
                val publisher = publisher(node)
                val first = publish(publisher, PublishRequest(text))
                // After a crash or without an answer, the operator publishes again, in the same process or in another.
                if (first == null || first is PublishResult.NotKnownYet) republish(node, publisher, text, base!!, first)
            }
        }

        private fun republish(
            node: FoldStateSource,
            publisher: Publisher,
            text: String,
            seen: FoldState,
            first: PublishResult?,
        ) {
            republished++
            val again = if (first != null && random.nextBoolean()) publisher else publisher(node)
            publish(again, PublishRequest(text, base = PatchBase(seen.version, seen.contentHash)))
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
