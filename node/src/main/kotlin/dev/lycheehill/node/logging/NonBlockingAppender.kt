package dev.lycheehill.node.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.UnsynchronizedAppenderBase
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * Hands log lines to [target] on a thread of its own, and drops lines while [queueLines] of them wait.
 *
 * It takes the place of the library's `AsyncAppender`, which joins text at its start; the first joined text costs a process
 * about a tenth of its start. Thread-safe.
 */
internal class NonBlockingAppender(
    private val target: Appender<ILoggingEvent>,
    queueLines: Int = QUEUE_LINES,
) : UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val waiting = ArrayBlockingQueue<ILoggingEvent>(queueLines)
    private var writer: Thread? = null

    // Ends the writer; never written itself.
    private val end = LoggingEvent()

    override fun start() {
        super.start()
        writer = thread(isDaemon = true, name = "log-writer", block = ::write)
    }

    /** Writes what waits, for [STOP_MS] at most, and stops the target. */
    override fun stop() {
        super.stop()
        // An interrupt would break off the line that is being written.
        waiting.offer(end, STOP_MS, TimeUnit.MILLISECONDS)
        writer?.join(STOP_MS)
        target.stop()
    }

    override fun append(event: ILoggingEvent) {
        event.prepareForDeferredProcessing()
        waiting.offer(event)
    }

    private fun write() = generateSequence { waiting.take().takeIf { it !== end } }.forEach(target::doAppend)

    private companion object {
        // Some seconds of the decision log's largest rate beside the node's other lines.
        const val QUEUE_LINES = 1_024

        // Standard output may be blocked for good; a stop must not wait for it.
        const val STOP_MS = 1_000L
    }
}
