package dev.lycheehill.measure.emulator

/** Plays days under policies with the same seeds. */
class PolicyExperiment(
    private val scenarios: List<EmulatedScenario>,
    private val policies: List<DecisionPolicy>,
    private val seeds: List<Long>,
) {
    /** Plays all and passes each comparison to [print] as soon as it is there. Seeds are played on all cores. */
    fun run(print: (PolicyComparison) -> Unit) {
        for (scenario in scenarios) {
            val reference = play(scenario, DecisionPolicies.asBuilt)
            policies.forEach { policy ->
                val results = if (policy == DecisionPolicies.asBuilt) reference else play(scenario, policy)
                print(PolicyComparison(scenario.name, policy.name, results, reference))
            }
        }
    }

    private fun play(
        scenario: EmulatedScenario,
        policy: DecisionPolicy,
    ): List<ScenarioResult> = seeds.parallelStream().map { EmulatedFleet(scenario, policy, it).run() }.toList()
}
