package dev.lycheehill.node.logging

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/**
 * A structured log with one line for each decision about a request and for each change of the node's view of the fleet.
 *
 * The rate is limited: lines beyond [linesPerSecond] are suppressed, and the next line that is written states their number.
 * Writing does not block if the appender is asynchronous. Thread-safe.
 */
class DecisionLog(
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
    private val clockNanos: () -> Long = System::nanoTime,
    private val logger: KLogger = KotlinLogging.logger("lycheehill.decision"),
) {
    private var secondStartNanos = clockNanos()
    private var linesInSecond = 0
    private var suppressed = 0L

    /** Writes a line for [event] with those of [fields] whose value is not null. */
    fun write(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        val suppressedBefore = acquireLine()
        if (suppressedBefore < 0) return
        val present = LinkedHashMap<String, Any?>()
        for ((name, value) in fields) if (value != null) present[name] = value
        if (suppressedBefore > 0) present["suppressed_lines"] = suppressedBefore
        logger.atInfo {
            message = event
            payload = present
        }
    }

    /** Returns the number of lines suppressed since the last written line, or -1 if the current line is to be suppressed. */
    @Synchronized
    private fun acquireLine(): Long {
        val now = clockNanos()
        if (now - secondStartNanos >= NANOS_PER_SECOND) {
            secondStartNanos = now
            linesInSecond = 0
        }
        if (linesInSecond >= linesPerSecond) {
            suppressed++
            return -1
        }
        linesInSecond++
        return suppressed.also { suppressed = 0 }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L

        // Bounds the log at 15 KB a second, at about 250 bytes a line.
        const val DEFAULT_LINES_PER_SECOND = 60
    }
}
