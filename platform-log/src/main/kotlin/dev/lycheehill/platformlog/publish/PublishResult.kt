package dev.lycheehill.platformlog.publish

/** Answer to a publish. Exactly one of the four kinds. */
sealed interface PublishResult {
    /** Exit code of the command line. */
    val exitCode: Int

    /** The answer as a plain sentence. */
    val message: String

    /** The patch made [version], which is in force on all [nodes] nodes. */
    data class InForce(
        val patchId: String,
        val version: Long,
        val nodes: Int,
    ) : PublishResult {
        override val exitCode: Int get() = 0
        override val message: String get() = "accepted as version $version and in force on all $nodes nodes"
    }

    /** The patch made [version], which is not known to be in force on all nodes yet. */
    data class PartlyInForce(
        val patchId: String,
        val version: Long,
        val count: InForceCount,
    ) : PublishResult {
        override val exitCode: Int get() = 3
        override val message: String
            get() = "accepted as version $version and in force on ${count.nodesInForce} of ${count.nodes} nodes$lagging"

        private val lagging: String
            get() = if (count.laggingZones.isEmpty()) "" else "; lagging: ${count.laggingZones.sorted().joinToString()}"
    }

    /**
     * The patch was not run and never will be.
     *
     * @property neverSent nothing was appended to the log.
     */
    data class Refused(
        val patchId: String,
        val reason: String,
        val neverSent: Boolean = false,
    ) : PublishResult {
        override val exitCode: Int get() = 4
        override val message: String
            get() = if (neverSent) "refused and not run (never sent): $reason" else "refused and not run: $reason"
    }

    /** The outcome is not known; [command] finds it out. */
    data class NotKnownYet(
        val patchId: String,
        val reason: String,
    ) : PublishResult {
        /** Command that asks for the outcome. */
        val command: String get() = "status $patchId"
        override val exitCode: Int get() = 5
        override val message: String get() = "not known yet: $reason; find out with: $command"
    }
}
