package dev.lycheehill.measure.emulator

/** Simulates each of [scenarios] under each of [policies] with the same seeds. */
class PolicyExperiment(
    private val scenarios: List<EmulatedScenario>,
    private val policies: List<DecisionPolicy>,
    private val seeds: List<Long>,
) {
    /** Runs all simulations, the seeds in parallel on all cores, and passes each comparison to [print] as soon as it is complete. */
    fun run(print: (PolicyComparison) -> Unit) {
        for (scenario in scenarios) {
            val reference = simulate(scenario, DecisionPolicies.asBuilt)
            policies.forEach { policy ->
                val results = if (policy == DecisionPolicies.asBuilt) reference else simulate(scenario, policy)
                print(PolicyComparison(scenario.name, policy.name, results, reference))
            }
        }
    }

    private fun simulate(
        scenario: EmulatedScenario,
        policy: DecisionPolicy,
    ): List<ScenarioResult> = seeds.parallelStream().map { EmulatedFleet(scenario, policy, it).run() }.toList()
}
