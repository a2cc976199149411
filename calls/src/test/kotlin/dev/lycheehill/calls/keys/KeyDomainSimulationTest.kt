package dev.lycheehill.calls.keys

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull

class KeyDomainSimulationTest {
    /** Guards against a keyed request, for example a payment, that runs twice under any mix of faults. */
    @ParameterizedTest
    @EnumSource(FaultMix::class)
    internal fun `no keyed request runs twice under faults`(mix: FaultMix) {
        var ran = 0
        val twice = ArrayList<Long>()
        val notHealed = ArrayList<Long>()
        var falseAnswers = 0
        for (seed in mix.seeds) {
            val history = KeyDomainSimulation(seed, mix.faults).run()
            if (history.runs.values.any { it > 1 }) twice += seed
            if (!history.runs.keys.containsAll(history.lateKeys)) notHealed += seed
            falseAnswers += history.falseAnswers
            ran += history.runs.size
        }
        println(
            "mix=$mix seeds=${mix.seeds} keys=${50 * mix.seeds.count()} ran=$ran twice=$twice falseAnswers=$falseAnswers notHealed=$notHealed",
        )
        expectThat(twice).isEmpty()
        // Guards against a domain whose requests are still refused after the faults have ended.
        expectThat(notHealed).isEmpty()
        expectThat(falseAnswers).isEqualTo(0)
        expectThat(ran).isGreaterThan(0)
    }

    /** Guards against safety by mere refusal: without faults each keyed request runs, also while homes change. */
    @Test
    fun `each keyed request runs once without faults`() {
        val missing = ArrayList<Pair<Long, Set<String>>>()
        for (seed in QUIET_SEEDS) {
            val history = KeyDomainSimulation(seed, KeyFaults()).run()
            val wrongKeys = (history.keys + history.lateKeys).filter { history.runs[it] != 1 }
            if (wrongKeys.isNotEmpty()) missing += seed to wrongKeys.toSet()
        }
        println("seeds=$QUIET_SEEDS histories=${QUIET_SEEDS.count()} with keys that did not run once=${missing.size}")
        expectThat(missing).isEmpty()
    }

    /** Guards against a simulation that cannot detect the failures that the rules prevent: without any one rule, a key runs twice. */
    @ParameterizedTest
    @EnumSource(WeakRule::class)
    internal fun `the simulation finds a key that runs twice when a rule is left out`(rule: WeakRule) {
        val found =
            SEEDS.firstOrNull { seed ->
                KeyDomainSimulation(seed, rule.faults)
                    .run()
                    .runs.values
                    .any { it > 1 }
            }
        println("rule=$rule first seed with a key that ran twice=$found")
        expectThat(found).isNotNull()
    }

    internal enum class FaultMix(
        val faults: KeyFaults,
        val seeds: LongRange,
    ) {
        ALL(KeyFaults.ALL, 1L..2_000L),
        LONG_PARTITIONS(KeyFaults.LONG_PARTITIONS, 2_001L..2_750L),
        STORM(KeyFaults.STORM, 2_751L..3_500L),
    }

    internal enum class WeakRule(
        val faults: KeyFaults,
    ) {
        NO_WAIT_FOR_THE_LEASE(KeyFaults.ALL.copy(settings = KeySettings(leaseMarginMs = -3_000, maxClockSkewMs = 0, maxKeyLeadMs = 0))),
        NO_LEASE(KeyFaults.LONG_PARTITIONS.copy(settings = KeySettings(leaseMs = 60_000, leaseMarginMs = -56_500))),
        NO_BOUND(KeyFaults.ALL.copy(settings = KeySettings(maxClockSkewMs = -86_400_000))),
        NO_HORIZON(KeyFaults.ALL.copy(settings = KeySettings(horizonMs = 1_000))),
        KEYS_FROM_THE_FUTURE(KeyFaults.ALL.copy(settings = KeySettings(maxClockSkewMs = -60_000, maxKeyLeadMs = 60_000))),
        RESTART_KEEPS_BOOT_ID(KeyFaults.ALL.copy(sameBootAfterCrash = true)),
        PROPOSAL_BEFORE_THE_SEAL(KeyFaults.LONG_PARTITIONS.copy(proposeUnsealed = true)),
    }

    private companion object {
        val SEEDS = 1L..3_000L
        val QUIET_SEEDS = 10_001L..10_500L
    }
}
