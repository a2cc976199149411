package dev.lycheehill.core.time

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** [TimerService] on the system clock. Tasks run on one daemon thread and must not block. */
class SystemTimerService(
    threadName: String = "lycheehill-timer",
    private val onTaskFailure: (Throwable) -> Unit = {},
) : TimerService,
    AutoCloseable {
    private val executor: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, threadName).apply { isDaemon = true }
        }

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

    override fun close() {
        executor.shutdownNow()
    }

    // The executor drops a periodic task that throws, so a failure is reported and the period continues.
    private fun guarded(task: () -> Unit): Runnable = Runnable { runCatching(task).onFailure(onTaskFailure) }
}
