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
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

@Timeout(10, unit = TimeUnit.SECONDS)
class NonBlockingAppenderTest {
    private val loggerContext = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
    private val written = CopyOnWriteArrayList<String>()
    private val targetEntered = CountDownLatch(1)
    private val targetGate = CountDownLatch(1)

    private inner class GatedAppender : AppenderBase<ILoggingEvent>() {
        override fun append(event: ILoggingEvent) {
            targetEntered.countDown()
            targetGate.await()
            written.add(event.formattedMessage)
        }
    }

    private fun appender(queueLines: Int) =
        NonBlockingAppender(GatedAppender().apply { start() }, queueLines).apply {
            context = loggerContext
            start()
        }

    private fun logEvent(text: String) = LoggingEvent(javaClass.name, loggerContext.getLogger("test"), Level.INFO, text, null, null)

    /** Guards against a node that blocks because its standard output is not read. */
    @Test
    fun `lines are dropped while the queue is full and the target blocks`() {
        val appender = appender(queueLines = 2)
        appender.doAppend(logEvent("first"))
        check(targetEntered.await(5, TimeUnit.SECONDS)) { "the first line did not reach the target" }
        repeat(100) { appender.doAppend(logEvent("line $it")) }
        targetGate.countDown()
        appender.stop()
        expectThat(written).containsExactly("first", "line 0", "line 1")
    }

    /** Guards against a process that ends before its last lines are written, and against one that waits for a blocked output. */
    @Test
    fun `flush waits for the lines appended so far, up to its timeout`() {
        val appender = appender(queueLines = 1_000)
        repeat(500) { appender.doAppend(logEvent("line $it")) }
        expectThat(appender.flush(timeoutMs = 50)).isFalse()
        targetGate.countDown()
        expectThat(appender.flush(timeoutMs = 5_000)).isTrue()
        expectThat(written).hasSize(500)
        appender.stop()
    }

    /** Guards against losing the last lines at shutdown, which state why the process ended. */
    @Test
    fun `stop writes the waiting lines`() {
        targetGate.countDown()
        val appender = appender(queueLines = 1_000)
        repeat(500) { appender.doAppend(logEvent("line $it")) }
        appender.stop()
        expectThat(written).hasSize(500)
    }
}
