package dev.lycheehill.cli.demo

import java.io.PrintWriter
import java.util.Locale

/** Prints the progress of the demo, each line with the time since the start. */
class ProgressPrinter(
    private val out: PrintWriter,
    private val startNanos: Long = System.nanoTime(),
) {
    /** Prints [text] as one line. */
    fun print(text: String) {
        out.println("%5.1f s  %s".format(Locale.ROOT, (System.nanoTime() - startNanos) / NANOS_PER_SECOND, text))
        out.flush()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
