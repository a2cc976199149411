package dev.lycheehill.measure.emulator.store

/** Summary of the [results] of one scenario over several seeds. */
class RestoreSummary(
    private val scenario: RestoreScenario,
    private val results: List<RestoreResult>,
) {
    /** Number of seeds in which a node did not get the new configuration, or a lost record did not come back, in the observed time. */
    val missed: Int get() = results.count { it.inForceMs == null || it.recordsBackMs == null }

    /** Returns one line for a terminal. */
    fun line(): String {
        val inForceMs = results.mapNotNull { it.inForceMs }
        val recordsBackMs = results.mapNotNull { it.recordsBackMs }
        return "nodes=${scenario.nodes} cut=${scenario.cutShare} seeds=${results.size} missed=$missed " +
            "in_force_ms=${inForceMs.sorted().getOrNull(inForceMs.size / 2)}/${inForceMs.maxOrNull()} " +
            "records_back_ms=${recordsBackMs.sorted().getOrNull(recordsBackMs.size / 2)}/${recordsBackMs.maxOrNull()} " +
            "store_calls=${results.sumOf { it.calls } / results.size}"
    }

    companion object {
        /** Emulates [scenario] with each of [seeds], in parallel on all cores. */
        fun of(
            scenario: RestoreScenario,
            seeds: List<Long>,
        ) = RestoreSummary(scenario, seeds.parallelStream().map { RestoreEmulation(scenario, it).run() }.toList())
    }
}
