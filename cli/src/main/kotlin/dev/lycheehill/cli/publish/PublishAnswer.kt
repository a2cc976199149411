package dev.lycheehill.cli.publish

import dev.lycheehill.cli.ExitCode

/** The one answer to a publication, with its exit code and its text. */
sealed interface PublishAnswer {
    /** Exit code of the command. */
    val exitCode: Int

    /** The answer as a sentence. */
    val text: String

    /** Accepted and in force on all [nodes]. */
    data class InForce(
        val version: Long,
        val nodes: Int,
    ) : PublishAnswer {
        override val exitCode = ExitCode.OK
        override val text get() = "accepted as version $version, in force on all $nodes nodes"
    }

    /** Accepted; some nodes have not shown the version within the time limit. */
    data class InForceOnSome(
        val version: Long,
        val nodes: Int,
        val nodesInForce: Int,
        val laggingZones: Set<String>,
    ) : PublishAnswer {
        override val exitCode = ExitCode.IN_FORCE_ON_SOME
        override val text
            get() = "accepted as version $version, in force on $nodesInForce of $nodes nodes; lagging: ${laggingZones.joinToString()}"
    }

    /** Nothing changed, and this patch will never change anything. */
    data class Refused(
        val reason: String,
    ) : PublishAnswer {
        override val exitCode = ExitCode.REFUSED
        override val text get() = "refused and not run: $reason"
    }

    /** The log has not said yet. */
    data class NotKnown(
        val patchId: String,
        val reason: String,
    ) : PublishAnswer {
        override val exitCode = ExitCode.NOT_KNOWN
        override val text get() = "not known yet ($reason): run 'lycheehill status $patchId'"
    }
}
