package dev.lycheehill.node.logging

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList

/** Records the lines of all decision logs of this process until it is closed. */
internal class RecordedDecisionLog : AutoCloseable {
    private val recorded = CopyOnWriteArrayList<ILoggingEvent>()
    private val logger: Logger = (LoggerFactory.getILoggerFactory() as LoggerContext).getLogger("lycheehill.decision")
    private val appender =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                recorded.add(event)
            }
        }

    init {
        appender.start()
        logger.addAppender(appender)
    }

    /** Returns the fields of each line about [event], in order. */
    fun lines(event: String): List<Map<String, Any?>> =
        recorded.filter { it.message == event }.map { line -> line.keyValuePairs.orEmpty().associate { it.key to it.value } }

    override fun close() {
        logger.detachAppender(appender)
    }
}
