package dev.lycheehill.cli.publish

/** Publishes patches and waits for the answer. */
fun interface PatchPublisher {
    /** Publishes [text] against version [base]. Blocks until the answer is known or the time limit has passed. */
    fun publish(
        text: String,
        base: Long,
    ): PublishAnswer
}
