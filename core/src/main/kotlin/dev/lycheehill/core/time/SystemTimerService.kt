package dev.lycheehill.core.time

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService

/** [TimerService] that uses the system clocks. Tasks run on one daemon thread and must not block. */
class SystemTimerService private constructor(
    private val executor: ScheduledExecutorService,
    onTaskFailure: (Throwable) -> Unit,
) : TimerService by ExecutorTimerService(executor, onTaskFailure),
    AutoCloseable {
    constructor(
        threadName: String = "lycheehill-timer",
        onTaskFailure: (Throwable) -> Unit = {},
    ) : this(newExecutor(threadName), onTaskFailure)

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        fun newExecutor(threadName: String): ScheduledExecutorService =
            Executors.newSingleThreadScheduledExecutor { task ->
                Thread(task, threadName).apply { isDaemon = true }
            }
    }
}
