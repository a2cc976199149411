package dev.lycheehill.calls.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RequestAgeEstimatorTest {
    private val estimator = RequestAgeEstimator()

    /** Guards against a repeated request that gets a new full aim (soft deadline), so that the response comes late. */
    @Test
    fun `a request that states less time than usual has already waited for the difference`() {
        repeat(10) { expectThat(estimator.ageMs("r", 2_500)) isEqualTo 0 }
        expectThat(estimator.ageMs("r", 2_200)) isEqualTo 300
        expectThat(estimator.ageMs("r", 2_490)) isEqualTo 0
        expectThat(estimator.ageMs("other", 2_200)) isEqualTo 0
    }

    /** Guards against a single unusual request after which all other requests seem to have waited. */
    @Test
    fun `a single longer time does not change the usual time`() {
        repeat(10) { estimator.ageMs("r", 2_500) }
        expectThat(estimator.ageMs("r", 60_000)) isEqualTo 0
        expectThat(estimator.ageMs("r", 2_500)) isEqualTo 0
    }

    /** Guards against an estimate that stays wrong after the callers have changed their timeout. */
    @Test
    fun `the estimator follows a change of the usual time`() {
        repeat(100) { estimator.ageMs("r", 2_500) }
        repeat(40) { estimator.ageMs("r", 1_000) }
        expectThat(estimator.ageMs("r", 1_000)) isEqualTo 0
        expectThat(estimator.ageMs("r", 900)) isEqualTo 100
    }
}
