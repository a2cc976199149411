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
 * Sends a steady mix of reads and orders, spread evenly over [callers].
 *
 * The load is open: a request that takes long does not delay the next one.
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
    private val pacer: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { daemon(it, "demo-pacer") }
    private val senders =
        ThreadPoolExecutor(0, MAX_SENDERS, IDLE_S, TimeUnit.SECONDS, SynchronousQueue()) { daemon(it, "demo-caller") }

    /** Starts to send. */
    fun start() {
        val periodNanos = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond
        pacer.scheduleAtFixedRate(::sendNext, 0, periodNanos, TimeUnit.NANOSECONDS)
    }

    /** Stops to send and waits at most [waitMs] for the requests in flight; returns whether all have ended. */
    fun stop(waitMs: Long): Boolean {
        pacer.shutdownNow()
        pacer.awaitTermination(1, TimeUnit.SECONDS)
        senders.shutdown()
        return senders.awaitTermination(waitMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        pacer.shutdownNow()
        senders.shutdownNow()
    }

    private fun sendNext() {
        val request = nextRequest()
        val caller = callers[nextId.get() % callers.size]
        tally.begin()
        try {
            senders.execute { tally.end(request, outcomeOf(caller, request)) }
        } catch (_: RejectedExecutionException) {
            tally.end(request, RequestOutcome.FAILED)
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
        const val MAX_SENDERS = 400
        const val IDLE_S = 5L

        fun daemon(
            task: Runnable,
            name: String,
        ): Thread = Thread(task, name).apply { isDaemon = true }
    }
}
