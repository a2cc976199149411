package dev.lycheehill.measure.fleet

/** Waits on the wall clock. */
object Wait {
    private const val POLL_MS = 10L
    private const val NANOS_PER_MILLI = 1_000_000L

    /** Waits until [condition] holds and returns the milliseconds that passed; fails after [limitMs]. */
    fun until(
        what: String,
        limitMs: Long,
        condition: () -> Boolean,
    ): Double = orNull(limitMs, condition) ?: error("$what did not happen within $limitMs ms")

    /** As [until], but returns null after [limitMs]. */
    fun orNull(
        limitMs: Long,
        condition: () -> Boolean,
    ): Double? {
        val start = System.nanoTime()
        while (!condition()) {
            if (passedMs(start) > limitMs) return null
            Thread.sleep(POLL_MS)
        }
        return passedMs(start)
    }

    private fun passedMs(start: Long): Double = (System.nanoTime() - start).toDouble() / NANOS_PER_MILLI
}
