package dev.lycheehill.cli.demo

import dev.lycheehill.cli.publish.PatchPublisher
import dev.lycheehill.cli.publish.PublishAnswer
import java.util.concurrent.CopyOnWriteArrayList

/** Collects what happened: answers to publications, convergence times and failed checks. Thread-safe. */
class DemoJournal(
    private val narrator: Narrator,
    private val watch: VersionWatch,
) {
    private val answers = CopyOnWriteArrayList<PublishAnswer>()
    private val convergence = CopyOnWriteArrayList<Long>()
    private val checks = DemoChecks()

    /** Number of accepted versions. */
    val versionsAccepted: Int get() = answers.count { it is PublishAnswer.InForce || it is PublishAnswer.InForceOnSome }

    /** Number of patches that were refused and not run. */
    val patchesRefused: Int get() = answers.count { it is PublishAnswer.Refused }

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
        publisher: PatchPublisher,
        text: String,
        base: Long,
    ): PublishAnswer {
        val startNanos = System.nanoTime()
        val answer = publisher.publish(text, base)
        answers += answer
        if (answer is PublishAnswer.InForce) {
            watch.awaitOnAllNodes(answer.version, startNanos, CONVERGENCE_BOUND_MS)?.let { convergence += it }
        }
        return answer
    }

    private companion object {
        // An accepted configuration is in force everywhere within 13 s.
        const val CONVERGENCE_BOUND_MS = 13_000L
    }
}
