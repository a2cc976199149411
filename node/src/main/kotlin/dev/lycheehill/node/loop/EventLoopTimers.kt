package dev.lycheehill.node.loop

import dev.lycheehill.core.time.Subscription
import dev.lycheehill.core.time.TimerService
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** [TimerService] whose tasks run on an event loop, so that they need no locks and no thread of their own. */
class EventLoopTimers(
    private val eventLoop: EventLoop,
) : TimerService {
    override fun nowNanos(): Long = System.nanoTime()

    override fun wallMillis(): Long = System.currentTimeMillis()

    override fun every(
        periodMs: Long,
        task: () -> Unit,
    ): Subscription {
        val future = eventLoop.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS)
        return Subscription { future.cancel(false) }
    }

    override fun after(
        delayMs: Long,
        task: () -> Unit,
    ): Subscription {
        val future = eventLoop.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS)
        return Subscription { future.cancel(false) }
    }

    // The event loop drops a periodic task that throws, so a failure is logged and the period continues.
    @Suppress("TooGenericExceptionCaught")
    private fun guarded(task: () -> Unit) =
        Runnable {
            try {
                task()
            } catch (e: RuntimeException) {
                log.error(e) { "timer task failed" }
            }
        }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
