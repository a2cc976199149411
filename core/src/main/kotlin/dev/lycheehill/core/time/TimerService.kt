package dev.lycheehill.core.time

/** Source of time and scheduler of tasks. Components use this service instead of the system clocks, so that tests can control time. */
interface TimerService {
    /** Returns a monotonic time in nanoseconds. Only differences are meaningful. */
    fun nowNanos(): Long

    /** Returns the wall-clock time in milliseconds since the Unix epoch. */
    fun wallMillis(): Long

    /** Runs [task] every [periodMs] milliseconds, for the first time after one period. */
    fun every(
        periodMs: Long,
        task: () -> Unit,
    ): Subscription

    /** Runs [task] once after [delayMs] milliseconds. */
    fun after(
        delayMs: Long,
        task: () -> Unit,
    ): Subscription
}

/** Returns a monotonic time in milliseconds. Only differences are meaningful. */
fun TimerService.nowMs(): Long = nowNanos() / NANOS_PER_MILLI

/** Nanoseconds in one millisecond. */
const val NANOS_PER_MILLI: Long = 1_000_000
