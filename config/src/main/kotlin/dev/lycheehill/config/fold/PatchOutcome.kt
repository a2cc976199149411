package dev.lycheehill.config.fold

import kotlinx.serialization.Serializable

/** What the log says about one patch. */
@Serializable
sealed interface PatchOutcome {
    /** The patch made [version]. */
    @Serializable
    data class Accepted(
        val version: Long,
    ) : PatchOutcome

    /** The patch was not run and never will be. */
    @Serializable
    data class Refused(
        val reason: String,
    ) : PatchOutcome

    /** The log read so far neither accepts nor refuses the patch. */
    @Serializable
    data object NotKnownYet : PatchOutcome

    /** The patch is older than the history that nodes hold. */
    @Serializable
    data object TooOldToTell : PatchOutcome
}
