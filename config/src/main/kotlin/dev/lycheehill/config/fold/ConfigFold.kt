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
 * Fold over the records of stream `config`, which yields the versions of the configuration.
 *
 * The fold is a pure and total function: equal records give equal states on every node, and no record makes it throw an
 * exception.
 */
object ConfigFold {
    /**
     * Returns the state after [entry] has been folded into [state].
     *
     * An entry whose offset is not the next one leaves the state unchanged, so a record that is delivered twice or too
     * early is harmless. A record of unknown format is not folded and sets [FoldState.stoppedReason]; a later release that
     * knows the format resumes at that record.
     */
    fun apply(
        state: FoldState,
        entry: LogEntry,
    ): FoldState {
        if (entry.offset != state.nextOffset || state.stoppedReason != null) return state
        return when (val decoded = RecordCodec.decode(entry.payload)) {
            is DecodedRecord.UnknownFormat -> state.copy(stoppedReason = unknownFormatReason(entry.offset, decoded.format))
            is DecodedRecord.Malformed -> state.advancedPast(entry).let { it.copy(malformedRecords = it.malformedRecords + 1) }
            is DecodedRecord.Known ->
                when (val record = decoded.record) {
                    is PatchRecord -> state.advancedPast(entry).withPatch(record)
                    is FenceRecord -> state.advancedPast(entry).withFence(record)
                    is HomeEpochRecord -> state.advancedPast(entry).withHomes(record)
                }
        }
    }

    private fun unknownFormatReason(
        offset: Long,
        format: Int,
    ) = "record at offset $offset has format $format; this release reads format ${RecordCodec.FORMAT}"

    private fun FoldState.advancedPast(entry: LogEntry): FoldState =
        copy(nextOffset = entry.offset + 1, chainHash = ChainHash.next(chainHash, entry))

    // A refusal is recorded only for a patch against the current version, because only that refusal is final. A patch
    // against a future version may still be accepted later. For a patch against a past version, the history gives the
    // outcome.
    private fun FoldState.withPatch(record: PatchRecord): FoldState =
        when {
            record.baseVersion != version -> this
            record.patchId in fences -> this
            record.baseHash != contentHash -> withRefusal(record.patchId, "base hash is not that of version $version")
            else ->
                when (val result = applyPatch(record)) {
                    is Either.Left -> withRefusal(record.patchId, result.value)
                    is Either.Right -> withNextVersion(result.value, ContentHash.of(result.value), record.patchId)
                }
        }

    private fun FoldState.applyPatch(record: PatchRecord): Either<String, ConfigContent> =
        when (val patch = PatchParser.parse(record.text)) {
            is Either.Left -> Either.Left(patch.value.first().toString())
            is Either.Right -> patch.value.applyTo(content).mapLeft { it.first().toString() }
        }

    private fun FoldState.withFence(record: FenceRecord): FoldState {
        if (PatchId.parse(record.patchId)?.baseVersion != version) return this
        val added = fences.add(record.patchId)
        return if (added.size > FoldLimits.MAX_FENCES) withNextVersion(content, contentHash, patchId = "") else copy(fences = added)
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

    private fun FoldState.withNextVersion(
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

    private fun FoldState.withRefusal(
        patchId: String,
        reason: String,
    ): FoldState {
        val added = refusals.put(patchId, reason.take(FoldLimits.MAX_REASON_CHARS))
        return copy(refusals = if (added.size > FoldLimits.MAX_REFUSALS) added.remove(added.keys.first()) else added)
    }
}
