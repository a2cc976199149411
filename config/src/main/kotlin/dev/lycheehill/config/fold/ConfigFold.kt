package dev.lycheehill.config.fold

import arrow.core.Either
import dev.lycheehill.config.home.DomainHomes
import dev.lycheehill.config.home.HomeLimits
import dev.lycheehill.config.log.ChainHash
import dev.lycheehill.config.log.DecodedRecord
import dev.lycheehill.config.log.FenceRecord
import dev.lycheehill.config.log.HomeEpochRecord
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchId
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.ContentHash
import dev.lycheehill.config.patch.PatchParser
import dev.lycheehill.config.patch.applyTo

/**
 * Folds the records of stream `config` into versions. Pure and total: equal records give equal states on every node, and
 * no record makes it throw.
 */
object ConfigFold {
    /**
     * Returns the state after [entry].
     *
     * An entry that is not the next one leaves the state unchanged, so a record delivered twice or too early is harmless.
     * A record of unknown format sets [FoldState.stoppedReason] and is not folded; a later release resumes there.
     */
    fun apply(
        state: FoldState,
        entry: LogEntry,
    ): FoldState {
        if (entry.offset != state.nextOffset || state.stoppedReason != null) return state
        return when (val decoded = RecordCodec.decode(entry.payload)) {
            is DecodedRecord.UnknownFormat -> state.copy(stoppedReason = stopReason(entry.offset, decoded.format))
            is DecodedRecord.Malformed -> state.passed(entry).let { it.copy(malformedRecords = it.malformedRecords + 1) }
            is DecodedRecord.Known ->
                when (val record = decoded.record) {
                    is PatchRecord -> state.passed(entry).withPatch(record)
                    is FenceRecord -> state.passed(entry).withFence(record)
                    is HomeEpochRecord -> state.passed(entry).withHomes(record)
                }
        }
    }

    private fun stopReason(
        offset: Long,
        format: Int,
    ) = "record at offset $offset has format $format; this release reads format ${RecordCodec.FORMAT}"

    private fun FoldState.passed(entry: LogEntry): FoldState =
        copy(nextOffset = entry.offset + 1, chainHash = ChainHash.next(chainHash, entry))

    // A refusal is recorded only for the current base, where it is final. A copy with a future base may still be
    // accepted later, and the history answers for a past base.
    private fun FoldState.withPatch(record: PatchRecord): FoldState =
        when {
            record.baseVersion != version -> this
            record.patchId in fences -> this
            record.baseHash != contentHash -> refused(record.patchId, "base hash is not that of version $version")
            else ->
                when (val result = resultOf(record)) {
                    is Either.Left -> refused(record.patchId, result.value)
                    is Either.Right -> next(result.value, ContentHash.of(result.value), record.patchId)
                }
        }

    private fun FoldState.resultOf(record: PatchRecord): Either<String, ConfigContent> =
        when (val patch = PatchParser.parse(record.text)) {
            is Either.Left -> Either.Left(patch.value.first().toString())
            is Either.Right -> patch.value.applyTo(content).mapLeft { it.first().toString() }
        }

    private fun FoldState.withFence(record: FenceRecord): FoldState {
        if (PatchId.parse(record.patchId)?.baseVersion != version) return this
        val added = fences.add(record.patchId)
        return if (added.size > FoldLimits.MAX_FENCES) next(content, contentHash, patchId = "") else copy(fences = added)
    }

    private fun FoldState.withHomes(record: HomeEpochRecord): FoldState {
        val current = homes[record.domain]
        if (record.previousEpoch != (current?.epoch ?: 0L)) return this
        if (current == null && homes.size >= HomeLimits.MAX_DOMAINS) return this
        val next =
            DomainHomes(
                epoch = record.previousEpoch + 1,
                members = record.members,
                previousMembers = current?.members.orEmpty(),
                reset = record.reset,
            )
        return copy(homes = homes.put(record.domain, next))
    }

    private fun FoldState.next(
        newContent: ConfigContent,
        newHash: String,
        patchId: String,
    ): FoldState =
        copy(
            version = version + 1,
            content = newContent,
            contentHash = newHash,
            history = history.put(version + 1, patchId).remove(version + 1 - FoldLimits.MAX_HISTORY_VERSIONS),
            fences = fences.clear(),
        )

    private fun FoldState.refused(
        patchId: String,
        reason: String,
    ): FoldState {
        val added = refusals.put(patchId, reason.take(FoldLimits.MAX_REASON_CHARS))
        return copy(refusals = if (added.size > FoldLimits.MAX_REFUSALS) added.remove(added.keys.first()) else added)
    }
}
