package dev.lycheehill.core.time

import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** [TimerService] that uses the system clocks and runs tasks on [executor]. Exceptions of tasks go to [onTaskFailure]. */
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

    // The executor cancels a periodic task that throws, so the exception is caught and reported.
    private fun guarded(task: () -> Unit): Runnable = Runnable { runCatching(task).onFailure(onTaskFailure) }
}
