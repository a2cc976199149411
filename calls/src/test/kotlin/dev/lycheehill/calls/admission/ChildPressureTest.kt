package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import java.util.SplittableRandom

class ChildPressureTest {
    private val pressure = ChildPressure()

    private fun ms(value: Long) = value * NANOS_PER_MILLI

    private fun admittedShare(nowMs: Long): Double = List(100) { pressure.admits("parent", it / 100.0, ms(nowMs)) }.count { it } / 100.0

    /** Guards against work that is begun although a call that it needs is refused. */
    @Test
    fun `a route whose calls are refused admits less, down to a least share`() {
        for (nowMs in 0L..2_000L step 10) pressure.onChildEnd("parent", refused = nowMs % 20 == 0L, ms(nowMs))
        expectThat(admittedShare(2_000)).isLessThan(0.3)
        for (nowMs in 2_000L..20_000L step 10) pressure.onChildEnd("parent", refused = true, ms(nowMs))
        expectThat(admittedShare(20_000)).isIn(0.2..0.21)
    }

    /** Guards against a route that stays reduced after the load has gone. */
    @Test
    fun `the share rises again when no call is refused`() {
        for (nowMs in 0L..1_000L step 10) pressure.onChildEnd("parent", refused = true, ms(nowMs))
        expectThat(admittedShare(1_000)).isLessThan(0.5)
        for (nowMs in 1_000L..5_500L step 10) pressure.onChildEnd("parent", refused = false, ms(nowMs))
        expectThat(admittedShare(5_500)) isEqualTo 1.0
    }

    /** Guards against a route that suffers for another one. */
    @Test
    fun `other routes are not reduced`() {
        for (nowMs in 0L..1_000L step 10) pressure.onChildEnd("parent", refused = true, ms(nowMs))
        expectThat(pressure.admits("other", 0.99, ms(1_000))) isEqualTo true
    }

    /** Guards against an oscillation that wastes room: the calls that get through stay near the room that there is. */
    @Test
    fun `the share settles near the room of the other service`() {
        val random = SplittableRandom(20261204)
        val roomPerPeriod = 30
        var served = 0
        var offered = 0
        for (period in 0 until 200) {
            var used = 0
            repeat(60) {
                val nowMs = period * 200L + it * 3
                if (!pressure.admits("parent", random.nextDouble(), ms(nowMs))) return@repeat
                val refused = used >= roomPerPeriod
                if (!refused) used++
                if (period > 50) offered++
                if (period > 50 && !refused) served++
                pressure.onChildEnd("parent", refused, ms(nowMs))
            }
        }
        println("seed=20261204 offered=$offered served=$served")
        expectThat(served.toDouble() / (149 * roomPerPeriod)).isGreaterThan(0.8)
        expectThat((offered - served).toDouble() / offered).isLessThan(0.15)
    }
}
