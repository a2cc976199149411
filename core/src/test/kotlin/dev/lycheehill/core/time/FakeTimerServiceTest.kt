package dev.lycheehill.core.time

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

class FakeTimerServiceTest {
    @Test
    fun `tasks run in the order of their due times and stop when cancelled`() {
        val timers = FakeTimerService()
        val runs = mutableListOf<String>()
        val periodic = timers.every(periodMs = 10) { runs += "every@${timers.nowMs()}" }
        timers.after(delayMs = 15) { runs += "after@${timers.nowMs()}" }

        timers.advance(byMs = 25)
        periodic.cancel()
        timers.advance(byMs = 25)

        expectThat(runs).containsExactly("every@10", "after@15", "every@20")
    }

    @Test
    fun `a pause delays tasks until time advances again`() {
        val timers = FakeTimerService()
        val runs = mutableListOf<Long>()
        timers.every(periodMs = 10) { runs += timers.nowMs() }

        timers.pause(byMs = 100)
        timers.advance(byMs = 5)

        expectThat(runs).containsExactly(100L)
    }
}
