package dev.lycheehill.core.time

/** Source of time and of timed events. Components read no clock of their own. */
interface TimerService {
    /** Monotonic time in nanoseconds. Only differences are meaningful. */
    fun nowNanos(): Long

    /** Wall clock time in milliseconds since the Unix epoch. */
    fun wallMillis(): Long

    /** Runs [task] every [periodMs] milliseconds, first after one period. */
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

/** Monotonic time in milliseconds. Only differences are meaningful. */
fun TimerService.nowMs(): Long = nowNanos() / NANOS_PER_MILLI

/** Nanoseconds in one millisecond. */
const val NANOS_PER_MILLI: Long = 1_000_000
