package dev.lycheehill.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.Executor
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Factory of the executors that a [FleetAgent] creates for itself. */
internal object FleetThreads {
    private val logger = KotlinLogging.logger {}
    private const val KEEP_ALIVE_S = 30L

    /** Returns an executor with at most [threads] daemon threads, which end after [KEEP_ALIVE_S] seconds without a task. */
    fun daemon(
        name: String,
        threads: Int = 1,
    ): Executor {
        val pool =
            ThreadPoolExecutor(threads, threads, KEEP_ALIVE_S, TimeUnit.SECONDS, LinkedBlockingQueue()) { task ->
                Thread(task, name).apply {
                    isDaemon = true
                    uncaughtExceptionHandler = Thread.UncaughtExceptionHandler { _, e -> logger.error(e) { "task failed on $name" } }
                }
            }
        pool.allowCoreThreadTimeOut(true)
        return Owned(pool)
    }

    /** Executor that the agent shuts down when the agent stops. */
    class Owned(
        private val pool: ThreadPoolExecutor,
    ) : Executor by pool,
        AutoCloseable {
        override fun close() {
            pool.shutdown()
        }
    }
}
