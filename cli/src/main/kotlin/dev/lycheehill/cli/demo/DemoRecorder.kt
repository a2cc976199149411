package dev.lycheehill.cli.demo

import dev.lycheehill.platformlog.publish.PatchBase
import dev.lycheehill.platformlog.publish.PublishRequest
import dev.lycheehill.platformlog.publish.PublishResult
import dev.lycheehill.platformlog.publish.Publisher
import java.util.concurrent.CopyOnWriteArrayList

/** Collects what happened: answers to publications, convergence times and failed checks. Thread-safe. */
class DemoRecorder(
    private val narrator: ProgressPrinter,
    private val watch: VersionMonitor,
) {
    private val answers = CopyOnWriteArrayList<PublishResult>()
    private val convergence = CopyOnWriteArrayList<Long>()
    private val checks = DemoChecks()

    /** Number of accepted versions. */
    val versionsAccepted: Int get() = answers.count { it is PublishResult.InForce || it is PublishResult.PartlyInForce }

    /** Number of patches that were refused and not run. */
    val patchesRefused: Int get() = answers.count { it is PublishResult.Refused }

    /** Times from the start of a publication to the version in force on all nodes, in milliseconds. */
    val convergenceMs: List<Long> get() = convergence.sorted()

    /** Checks that did not hold. */
    val failedChecks: List<String> get() = checks.failed

    /** Prints [text]. */
    fun say(text: String) = narrator.say(text)

    /** Notes whether [statement] holds; a statement that does not is printed. */
    fun check(
        statement: String,
        holds: Boolean,
    ) {
        if (!checks.check(statement, holds)) narrator.say("FAILED: $statement")
    }

    /** Publishes [text] and keeps the answer and, when it is accepted, the convergence time. */
    fun published(
        publisher: Publisher,
        text: String,
        base: PatchBase?,
    ): PublishResult {
        val startNanos = System.nanoTime()
        val answer = publisher.publish(PublishRequest(text = text, author = "demo", base = base))
        answers += answer
        if (answer is PublishResult.InForce) {
            watch.awaitOnAllNodes(answer.version, startNanos, CONVERGENCE_BOUND_MS)?.let { convergence += it }
        }
        return answer
    }

    private companion object {
        // An accepted configuration is in force everywhere within 13 s.
        const val CONVERGENCE_BOUND_MS = 13_000L
    }
}
