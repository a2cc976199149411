package dev.lycheehill.node.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.Logger

/** Log lines as JSON on standard output. Writing does not block: when the queue is full, lines are dropped. */
object StructuredLogs {
    /** Configures [context]. */
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
        val queue = NonBlockingAppender(console)
        queue.context = context
        queue.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(queue)
        context.getLogger("io.netty").level = Level.WARN
    }
}
