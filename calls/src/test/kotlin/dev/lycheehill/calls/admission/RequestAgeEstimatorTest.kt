package dev.lycheehill.calls.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RequestAgeEstimatorTest {
    private val ages = RequestAgeEstimator()

    /** Guards against a request that came back and is given a whole new aim, so that it is answered late. */
    @Test
    fun `a request that states less than usual has been waiting`() {
        repeat(10) { expectThat(ages.ageMs("r", 2_500)) isEqualTo 0 }
        expectThat(ages.ageMs("r", 2_200)) isEqualTo 300
        expectThat(ages.ageMs("r", 2_490)) isEqualTo 0
        expectThat(ages.ageMs("other", 2_200)) isEqualTo 0
    }

    /** Guards against one odd request after which all others seem to have been waiting. */
    @Test
    fun `a single longer time changes nothing`() {
        repeat(10) { ages.ageMs("r", 2_500) }
        expectThat(ages.ageMs("r", 60_000)) isEqualTo 0
        expectThat(ages.ageMs("r", 2_500)) isEqualTo 0
    }

    /** Guards against an estimate that stays wrong after callers have changed their time. */
    @Test
    fun `a new usual time is followed`() {
        repeat(100) { ages.ageMs("r", 2_500) }
        repeat(40) { ages.ageMs("r", 1_000) }
        expectThat(ages.ageMs("r", 1_000)) isEqualTo 0
        expectThat(ages.ageMs("r", 900)) isEqualTo 100
    }
}
