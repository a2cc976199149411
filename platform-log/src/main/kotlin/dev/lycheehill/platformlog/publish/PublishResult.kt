package dev.lycheehill.platformlog.publish

/** Result of a publish or of a status query. */
sealed interface PublishResult {
    /** Exit code of the command line tool. */
    val exitCode: Int

    /** Description of the result for operators. */
    val message: String

    /** The patch was accepted as [version], which is in force on all [nodes] live nodes. */
    data class InForce(
        val patchId: String,
        val version: Long,
        val nodes: Int,
    ) : PublishResult {
        override val exitCode: Int get() = 0
        override val message: String get() = "accepted as version $version and in force on all $nodes nodes"
    }

    /** The patch was accepted as [version], which is not yet known to be in force on all nodes. */
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
     * The patch was not accepted and never will be.
     *
     * @property neverSent whether nothing was sent to the log.
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

    /** The outcome is not known yet; [command] queries it. */
    data class NotKnownYet(
        val patchId: String,
        val reason: String,
    ) : PublishResult {
        /** Command line that queries the outcome. */
        val command: String get() = "status $patchId"
        override val exitCode: Int get() = 5
        override val message: String get() = "not known yet: $reason; find out with: $command"
    }
}
