package dev.lycheehill.measure.emulator

/** Plays days under policies with the same seeds. */
class PolicyExperiment(
    private val days: List<EmulatedDay>,
    private val policies: List<DecisionPolicy>,
    private val seeds: List<Long>,
) {
    /** Plays all and passes each comparison to [print] as soon as it is there. Seeds are played on all cores. */
    fun run(print: (PolicyComparison) -> Unit) {
        for (day in days) {
            val reference = play(day, DecisionPolicies.asBuilt)
            policies.forEach { policy ->
                val results = if (policy == DecisionPolicies.asBuilt) reference else play(day, policy)
                print(PolicyComparison(day.name, policy.name, results, reference))
            }
        }
    }

    private fun play(
        day: EmulatedDay,
        policy: DecisionPolicy,
    ): List<DayResult> = seeds.parallelStream().map { EmulatedFleet(day, policy, it).run() }.toList()
}
