package dev.lycheehill.node.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Logback configuration that writes log lines as JSON to standard output.
 *
 * Logging does not block: lines are dropped while the queue of the appender is full.
 */
object StructuredLogs {
    /** Adds the encoder, the appenders and the levels to [context]. */
    fun configure(context: LoggerContext) {
        val encoder = JsonEncoder()
        encoder.context = context
        encoder.setWithSequenceNumber(false)
        encoder.setWithNanoseconds(false)
        encoder.setWithThreadName(false)
        encoder.setWithContext(false)
        encoder.setWithMDC(false)
        encoder.start()
        val console = ConsoleAppender<ILoggingEvent>()
        console.context = context
        console.encoder = encoder
        console.start()
        val appender = NonBlockingAppender(console)
        appender.context = context
        appender.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(appender)
        context.getLogger("io.netty").level = Level.WARN
    }

    /** Waits up to [timeoutMs] until the lines logged so far are written. Does nothing if [configure] has not been called. */
    fun flush(timeoutMs: Long) {
        val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return
        context
            .getLogger(Logger.ROOT_LOGGER_NAME)
            .iteratorForAppenders()
            .asSequence()
            .filterIsInstance<NonBlockingAppender>()
            .forEach { it.flush(timeoutMs) }
    }
}
