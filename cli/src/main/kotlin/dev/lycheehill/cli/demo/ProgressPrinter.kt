package dev.lycheehill.cli.demo

import java.io.PrintWriter
import java.util.Locale

/** Prints one line for each step with the time since the start. */
class ProgressPrinter(
    private val out: PrintWriter,
    private val startNanos: Long = System.nanoTime(),
) {
    /** Prints [text]. */
    fun say(text: String) {
        out.println("%5.1f s  %s".format(Locale.ROOT, (System.nanoTime() - startNanos) / NANOS_PER_SECOND, text))
        out.flush()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
