package dev.lycheehill.node.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

@Timeout(10, unit = TimeUnit.SECONDS)
class NonBlockingAppenderTest {
    private val logs = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
    private val written = CopyOnWriteArrayList<String>()
    private val entered = CountDownLatch(1)
    private val gate = CountDownLatch(1)

    private inner class GatedAppender : AppenderBase<ILoggingEvent>() {
        override fun append(event: ILoggingEvent) {
            entered.countDown()
            gate.await()
            written.add(event.formattedMessage)
        }
    }

    private fun appender(queueLines: Int) =
        NonBlockingAppender(GatedAppender().apply { start() }, queueLines).apply {
            context = logs
            start()
        }

    private fun line(text: String) = LoggingEvent(javaClass.name, logs.getLogger("test"), Level.INFO, text, null, null)

    /** Guards against a node that stands still because nobody reads its standard output. */
    @Test
    fun `lines beyond the queue are dropped while the target blocks`() {
        val appender = appender(queueLines = 2)
        appender.doAppend(line("first"))
        check(entered.await(5, TimeUnit.SECONDS)) { "the first line did not reach the target" }
        repeat(100) { appender.doAppend(line("line $it")) }
        gate.countDown()
        appender.stop()
        expectThat(written).containsExactly("first", "line 0", "line 1")
    }

    /** Guards against a lost last line, which tells why a process ended. */
    @Test
    fun `what waits is written before a stop ends`() {
        gate.countDown()
        val appender = appender(queueLines = 1_000)
        repeat(500) { appender.doAppend(line("line $it")) }
        appender.stop()
        expectThat(written).hasSize(500)
    }
}
