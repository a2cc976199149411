package dev.lycheehill.config.fold

import kotlinx.serialization.Serializable

/** Outcome of one patch, according to the records of the log that have been folded so far. */
@Serializable
sealed interface PatchOutcome {
    /** The patch was accepted and made [version]. */
    @Serializable
    data class Accepted(
        val version: Long,
    ) : PatchOutcome

    /** The patch was not applied and never will be. */
    @Serializable
    data class Refused(
        val reason: String,
    ) : PatchOutcome

    /** The records folded so far neither accept nor refuse the patch. */
    @Serializable
    data object NotKnownYet : PatchOutcome

    /** The patch is older than the history that nodes keep, so its outcome is no longer known. */
    @Serializable
    data object TooOldToTell : PatchOutcome
}
