package dev.lycheehill.measure.fleet

/** Functions that wait for a condition by polling. */
object Wait {
    private const val POLL_MS = 10L
    private const val NANOS_PER_MILLI = 1_000_000L

    /**
     * Waits until [condition] holds and returns the elapsed time in milliseconds. Throws [IllegalStateException], with
     * [description] in its message, when [timeoutMs] have passed.
     */
    fun until(
        description: String,
        timeoutMs: Long,
        condition: () -> Boolean,
    ): Double = orNull(timeoutMs, condition) ?: error("$description did not happen within $timeoutMs ms")

    /** Waits like [until], but returns null when [timeoutMs] have passed. */
    fun orNull(
        timeoutMs: Long,
        condition: () -> Boolean,
    ): Double? {
        val start = System.nanoTime()
        while (!condition()) {
            if (elapsedMs(start) > timeoutMs) return null
            Thread.sleep(POLL_MS)
        }
        return elapsedMs(start)
    }

    private fun elapsedMs(start: Long): Double = (System.nanoTime() - start).toDouble() / NANOS_PER_MILLI
}
