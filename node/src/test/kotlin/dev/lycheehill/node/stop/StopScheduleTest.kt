package dev.lycheehill.node.stop

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

class StopScheduleTest {
    /** Guards against a stop that cuts calls although the platform grants more time. */
    @ParameterizedTest
    @CsvSource("1000, 400", "3000, 1200", "6000, 2300", "10000, 2300", "60000, 2300")
    fun `a stop waits for calls up to the last sixth of the grace period and not beyond it`(
        graceMs: Long,
        drainDelayMs: Long,
    ) {
        val schedule = StopSchedule.within(graceMs)
        expectThat(schedule.drainDelayMs) isEqualTo drainDelayMs
        expectThat(schedule.timeoutMs).isGreaterThanOrEqualTo(graceMs * 5 / 6)
        expectThat(schedule.timeoutMs).isLessThan(graceMs)
    }
}
