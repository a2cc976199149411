package dev.lycheehill.measure.emulator

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class EmulatedFleetTest {
    private fun play(
        scenario: String,
        policy: DecisionPolicy = DecisionPolicies.asBuilt,
        seed: Long = 1,
    ): ScenarioResult = EmulatedFleet(EmulatedScenarios.all.getValue(scenario), policy, seed).run()

    private fun compare(
        scenario: String,
        other: DecisionPolicy,
    ): PolicyComparison {
        val comparisons = ArrayList<PolicyComparison>()
        PolicyExperiment(listOf(EmulatedScenarios.all.getValue(scenario)), listOf(other), SEEDS).run { comparisons.add(it) }
        return comparisons.single().also { println("seeds 1 to ${SEEDS.size}: ${it.line()}") }
    }

    /** Guards against comparisons that measure the play and not the policy. */
    @Test
    fun `the same seed gives the same scenario and another seed another one`() {
        expectThat(play("short-slow")) isEqualTo play("short-slow")
        expectThat(play("short-slow", seed = 2).worth == play("short-slow").worth) isEqualTo false
    }

    /** Guards against an emulator in which trouble costs nothing, so that no policy can be told from another. */
    @Test
    fun `trouble costs worth and the worst windows show it`() {
        val usual = play("short-usual")
        for (scenario in listOf("short-crest", "short-slow", "short-shedding", "short-power-off")) {
            val result = play(scenario)
            expectThat(result.figure).describedAs(scenario).isLessThan(usual.figure)
            expectThat(result.worstWindows).describedAs(scenario).isLessThan(result.worth)
        }
    }

    /** Guards against an emulator that loses requests by itself. */
    @Test
    fun `with few requests all are served in time`() {
        val route = EmulatedRoute("r", "s", callsPerSecond = 50.0, meanWorkMs = 5.0, aimMs = 500, deadlineMs = 1_000)
        val scenario =
            EmulatedScenario("calm", listOf(EmulatedService("s", serversPerZone = 1, slots = 8)), listOf(route), durationMs = 5_000)
        val result = EmulatedFleet(scenario, DecisionPolicies.asBuilt, seed = 1).run()
        expectThat(listOf(result.worth, result.served, result.refusedAgain)).containsExactly(1.0, 1.0, 0.0)
    }

    /**
     * Guards against a backend server that refuses what its node has a slot for and, as it looks idle, goes on getting its
     * full share of the requests.
     */
    @ParameterizedTest
    @CsvSource("short-some-shed", "short-shedding", "long-some-shed")
    fun `callers get more when refusals of backend servers count as failures`(scenario: String) {
        val passing = DecisionPolicies.all.getValue("refusals-pass")
        val comparison = compare(scenario, passing)
        expectThat(comparison.difference + comparison.confidenceHalfWidth).isLessThan(0.0)
    }

    /** Guards against a queue that holds what cannot end in time: users ask that it is refused at once. */
    @ParameterizedTest
    @CsvSource("short-crest", "long-crest")
    fun `in a crest callers get more from a queue with a margin than from one without`(scenario: String) {
        val comparison = compare(scenario, DecisionPolicies.all.getValue("no-margin"))
        expectThat(comparison.confidenceHalfWidth).isGreaterThan(0.0)
        expectThat(comparison.difference + comparison.confidenceHalfWidth).isLessThan(0.0)
    }

    /**
     * Guards against nodes that pass refused calls around among full targets: each send costs two nodes processor time, and
     * callers get nothing for it.
     */
    @ParameterizedTest
    @CsvSource("short-crest", "long-crest", "short-called-crest")
    fun `in a crest one move after a refusal serves callers as well as two, with fewer sends`(scenario: String) {
        val one = compare(scenario, DecisionPolicies.asBuilt)
        val two = compare(scenario, DecisionPolicies.all.getValue("two-moves"))
        expectThat(two.difference).isLessThan(SAME_FIGURE)
        expectThat(one.sendsPerRequest).isLessThan(two.sendsPerRequest)
        expectThat(one.betweenZones).isLessThan(two.betweenZones)
    }

    private companion object {
        // A third of the fall that the users take for noise.
        const val SAME_FIGURE = 0.01
        val SEEDS = (1L..6L).toList()
    }
}
