package dev.lycheehill.config.fold

import dev.lycheehill.config.log.PatchId

/** Returns the outcome of patch [id] that the folded records prove. */
fun FoldState.outcomeOf(id: PatchId): PatchOutcome =
    when {
        id.baseVersion > version -> PatchOutcome.NotKnownYet
        id.baseVersion == version -> outcomeAtCurrentVersion(id)
        else -> outcomeFromHistory(id)
    }

private fun FoldState.outcomeAtCurrentVersion(id: PatchId): PatchOutcome =
    refusals[id.value]?.let { PatchOutcome.Refused(it) }
        ?: PatchOutcome.Refused("fenced before the patch reached the log").takeIf { id.value in fences }
        ?: PatchOutcome.NotKnownYet

private fun FoldState.outcomeFromHistory(id: PatchId): PatchOutcome {
    val next = id.baseVersion + 1
    return when (val winner = history[next]) {
        null -> PatchOutcome.TooOldToTell
        id.value -> PatchOutcome.Accepted(next)
        else -> PatchOutcome.Refused(refusals[id.value] ?: supersededReason(winner, next))
    }
}

private fun FoldState.supersededReason(
    winner: String,
    next: Long,
): String =
    if (winner.isEmpty()) {
        "version $next dropped the fences of its base; the current version is $version"
    } else {
        "version $next was made by patch $winner; the current version is $version"
    }
