package dev.lycheehill.cli.demo

import dev.lycheehill.platformlog.publish.PatchBase
import dev.lycheehill.platformlog.publish.PublishRequest
import dev.lycheehill.platformlog.publish.PublishResult
import dev.lycheehill.platformlog.publish.Publisher
import java.util.concurrent.CopyOnWriteArrayList

/** Collects publish results, convergence times and failed checks for the report of the demo. Thread-safe. */
class DemoRecorder(
    private val printer: ProgressPrinter,
    private val versionMonitor: VersionMonitor,
) {
    private val results = CopyOnWriteArrayList<PublishResult>()
    private val convergenceTimesMs = CopyOnWriteArrayList<Long>()
    private val checks = DemoChecks()

    /** Number of patches that were accepted as a version. */
    val versionsAccepted: Int get() = results.count { it is PublishResult.InForce || it is PublishResult.PartlyInForce }

    /** Number of patches that were refused and not run. */
    val patchesRefused: Int get() = results.count { it is PublishResult.Refused }

    /** Times from the start of a publish until the version was in force on all nodes, in milliseconds, ascending. */
    val convergenceMs: List<Long> get() = convergenceTimesMs.sorted()

    /** Statements that did not hold. */
    val failedChecks: List<String> get() = checks.failed

    /** Prints [text]. */
    fun print(text: String) = printer.print(text)

    /** Records whether [statement] holds, and prints the statement if it does not. */
    fun check(
        statement: String,
        holds: Boolean,
    ) {
        if (!checks.check(statement, holds)) printer.print("FAILED: $statement")
    }

    /** Publishes the patch [text] against [base]. Records the result and, if the version is in force, the convergence time. */
    fun publish(
        publisher: Publisher,
        text: String,
        base: PatchBase?,
    ): PublishResult {
        val startNanos = System.nanoTime()
        val result = publisher.publish(PublishRequest(text = text, author = "demo", base = base))
        results += result
        if (result is PublishResult.InForce) {
            versionMonitor.awaitOnAllNodes(result.version, startNanos, CONVERGENCE_BOUND_MS)?.let { convergenceTimesMs += it }
        }
        return result
    }

    private companion object {
        // An accepted version must be in force on all nodes within 13 s.
        const val CONVERGENCE_BOUND_MS = 13_000L
    }
}
