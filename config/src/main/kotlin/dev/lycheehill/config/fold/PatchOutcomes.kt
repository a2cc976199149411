package dev.lycheehill.config.fold

import dev.lycheehill.config.log.PatchId

/** Says what the folded records prove about patch [id]. */
fun FoldState.outcomeOf(id: PatchId): PatchOutcome =
    when {
        id.baseVersion > version -> PatchOutcome.NotKnownYet
        id.baseVersion == version -> outcomeAtBase(id)
        else -> outcomeFromHistory(id)
    }

private fun FoldState.outcomeAtBase(id: PatchId): PatchOutcome =
    refusals[id.value]?.let { PatchOutcome.Refused(it) }
        ?: PatchOutcome.Refused("fenced before the patch reached the log").takeIf { id.value in fences }
        ?: PatchOutcome.NotKnownYet

private fun FoldState.outcomeFromHistory(id: PatchId): PatchOutcome {
    val next = id.baseVersion + 1
    return when (val winner = history[next]) {
        null -> PatchOutcome.TooOldToTell
        id.value -> PatchOutcome.Accepted(next)
        else -> PatchOutcome.Refused(refusals[id.value] ?: lostTo(winner, next))
    }
}

private fun FoldState.lostTo(
    winner: String,
    next: Long,
): String =
    if (winner.isEmpty()) {
        "version $next dropped the fences of its base; the current version is $version"
    } else {
        "version $next was made by patch $winner; the current version is $version"
    }
