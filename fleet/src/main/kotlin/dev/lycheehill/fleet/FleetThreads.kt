package dev.lycheehill.fleet

import java.util.concurrent.Executor
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Threads that a [FleetAgent] creates for itself. */
internal object FleetThreads {
    /** Returns an executor with one daemon thread. */
    fun daemon(name: String): Executor = Daemon(Executors.newSingleThreadExecutor { task -> Thread(task, name).apply { isDaemon = true } })

    /** Executor that is closed with the agent that created it. */
    class Daemon(
        private val service: ExecutorService,
    ) : Executor by service,
        AutoCloseable {
        override fun close() {
            service.shutdown()
        }
    }
}
