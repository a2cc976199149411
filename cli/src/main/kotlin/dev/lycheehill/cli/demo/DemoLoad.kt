package dev.lycheehill.cli.demo

import java.util.Random
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Open-loop load generator of the demo: sends reads and orders at a constant rate, in turn from each of the callers.
 *
 * A slow request does not delay the next request.
 */
class DemoLoad(
    private val deployment: Deployment,
    private val callers: List<DemoCaller>,
    private val tally: LoadTally,
    seed: Long,
    private val requestsPerSecond: Int = 260,
) : AutoCloseable {
    private val random = Random(seed)
    private val keys = UuidV7(Random(seed + 1))
    private val nextId = AtomicInteger()
    private val scheduler: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { daemonThread(it, "demo-pacer") }
    private val callerThreads =
        ThreadPoolExecutor(0, MAX_CALLER_THREADS, IDLE_S, TimeUnit.SECONDS, SynchronousQueue()) { daemonThread(it, "demo-caller") }

    /** Starts to send requests. */
    fun start() {
        val periodNanos = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond
        scheduler.scheduleAtFixedRate(::sendNext, 0, periodNanos, TimeUnit.NANOSECONDS)
    }

    /** Stops sending and waits at most [timeoutMs] milliseconds for the requests in flight. Returns whether all have ended. */
    fun stop(timeoutMs: Long): Boolean {
        scheduler.shutdownNow()
        scheduler.awaitTermination(1, TimeUnit.SECONDS)
        callerThreads.shutdown()
        return callerThreads.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        scheduler.shutdownNow()
        callerThreads.shutdownNow()
    }

    private fun sendNext() {
        val request = nextRequest()
        val caller = callers[nextId.get() % callers.size]
        tally.recordStart()
        try {
            callerThreads.execute { tally.recordEnd(request, outcomeOf(caller, request)) }
        } catch (_: RejectedExecutionException) {
            tally.recordEnd(request, RequestOutcome.FAILED)
        }
    }

    private fun outcomeOf(
        caller: DemoCaller,
        request: DemoRequest,
    ): RequestOutcome =
        try {
            caller.send(request)
        } catch (_: InterruptedException) {
            RequestOutcome.FAILED
        }

    private fun nextRequest(): DemoRequest {
        val number = nextId.incrementAndGet()
        if (random.nextInt(PERCENT) >= ORDERS_PERCENT) {
            val route = deployment.reads[random.nextInt(deployment.reads.size)]
            return DemoRequest(id = "read-$number", path = "${route.path}/$number")
        }
        val route = deployment.orders[random.nextInt(deployment.orders.size)]
        val key = keys.next(System.currentTimeMillis()).toString()
        return DemoRequest(id = key, path = route.path, key = key)
    }

    private companion object {
        const val PERCENT = 100
        const val ORDERS_PERCENT = 25
        const val MAX_CALLER_THREADS = 400
        const val IDLE_S = 5L

        fun daemonThread(
            task: Runnable,
            name: String,
        ): Thread = Thread(task, name).apply { isDaemon = true }
    }
}
