package dev.lycheehill.node.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.UnsynchronizedAppenderBase
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * A Logback appender that passes log lines to [target] on a separate thread, and drops new lines while [queueLines] lines wait.
 *
 * Replaces Logback's `AsyncAppender`, which concatenates strings when it starts: the first string concatenation takes about
 * a tenth of the startup time of a process. Thread-safe.
 */
internal class NonBlockingAppender(
    private val target: Appender<ILoggingEvent>,
    queueLines: Int = QUEUE_LINES,
) : UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<ILoggingEvent>(queueLines)
    private var writer: Thread? = null

    // Marks the end of the queue and stops the writer thread; not written to the target.
    private val endMarker = LoggingEvent()

    override fun start() {
        super.start()
        writer = thread(isDaemon = true, name = "log-writer", block = ::write)
    }

    /**
     * Writes the waiting lines and stops the target.
     *
     * Waits up to [STOP_TIMEOUT_MS] for space in the queue, and up to [STOP_TIMEOUT_MS] for the writer thread to end.
     */
    override fun stop() {
        super.stop()
        // The writer thread is not interrupted, because an interrupt would cut off the line that is being written.
        queue.offer(endMarker, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        writer?.join(STOP_TIMEOUT_MS)
        target.stop()
    }

    /** Waits up to [timeoutMs] until the lines appended so far have been passed to the target. Returns whether they have. */
    fun flush(timeoutMs: Long): Boolean {
        val marker = FlushMarker()
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        return queue.offer(marker, timeoutMs, TimeUnit.MILLISECONDS) &&
            marker.reached.await(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS)
    }

    override fun append(event: ILoggingEvent) {
        event.prepareForDeferredProcessing()
        queue.offer(event)
    }

    private fun write() =
        generateSequence { queue.take().takeIf { it !== endMarker } }.forEach {
            if (it is FlushMarker) it.reached.countDown() else target.doAppend(it)
        }

    private class FlushMarker : LoggingEvent() {
        val reached = CountDownLatch(1)
    }

    private companion object {
        // Holds several seconds of the decision log at its maximum rate, in addition to the other log lines.
        const val QUEUE_LINES = 1_024

        // Standard output may be blocked permanently, and stopping the process must not wait for it.
        const val STOP_TIMEOUT_MS = 1_000L
    }
}
