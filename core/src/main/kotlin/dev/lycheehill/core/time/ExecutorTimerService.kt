package dev.lycheehill.core.time

import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** [TimerService] on the system clock, whose tasks run on [executor]. */
class ExecutorTimerService(
    private val executor: ScheduledExecutorService,
    private val onTaskFailure: (Throwable) -> Unit,
) : TimerService {
    override fun nowNanos(): Long = System.nanoTime()

    override fun wallMillis(): Long = System.currentTimeMillis()

    override fun every(
        periodMs: Long,
        task: () -> Unit,
    ): Subscription {
        val future = executor.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS)
        return Subscription { future.cancel(false) }
    }

    override fun after(
        delayMs: Long,
        task: () -> Unit,
    ): Subscription {
        val future = executor.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS)
        return Subscription { future.cancel(false) }
    }

    // The executor drops a periodic task that throws, so a failure is reported and the period continues.
    private fun guarded(task: () -> Unit): Runnable = Runnable { runCatching(task).onFailure(onTaskFailure) }
}
