package dev.lycheehill.node.logging

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/**
 * Writes one structured line for each decision that touches a request or changes what the node believes.
 *
 * The volume is bounded: beyond [linesPerSecond] lines are counted and the count is written with the next line. Writing
 * does not block when the appender is asynchronous. Thread-safe.
 */
class DecisionLog(
    private val linesPerSecond: Int = LINES_PER_SECOND,
    private val clockNanos: () -> Long = System::nanoTime,
    private val logger: KLogger = KotlinLogging.logger("lycheehill.decision"),
) {
    private var secondStartNanos = clockNanos()
    private var lines = 0
    private var suppressed = 0L

    /** Writes [event] with [fields]; fields without a value are left out. */
    fun write(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        val skipped = admit()
        if (skipped < 0) return
        val present = LinkedHashMap<String, Any?>()
        for ((name, value) in fields) if (value != null) present[name] = value
        if (skipped > 0) present["suppressed_lines"] = skipped
        logger.atInfo {
            message = event
            payload = present
        }
    }

    /** Returns the number of lines suppressed since the last one that was written, or -1 to suppress this one. */
    @Synchronized
    private fun admit(): Long {
        val now = clockNanos()
        if (now - secondStartNanos >= NANOS_PER_SECOND) {
            secondStartNanos = now
            lines = 0
        }
        if (lines >= linesPerSecond) {
            suppressed++
            return -1
        }
        lines++
        return suppressed.also { suppressed = 0 }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L

        // At about 250 bytes a line, 15 KB a second.
        const val LINES_PER_SECOND = 60
    }
}
