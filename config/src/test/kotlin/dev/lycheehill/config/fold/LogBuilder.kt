package dev.lycheehill.config.fold

import dev.lycheehill.config.log.FenceRecord
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec

/** Folds records one after another, as one log would order them. */
class LogBuilder(
    var state: FoldState = FoldState.initial(),
) {
    fun patch(
        text: String,
        base: FoldState = state,
    ): PatchRecord = PatchRecord.of(base.version, base.contentHash, text)

    fun append(record: PatchRecord): LogBuilder = append(RecordCodec.encode(record))

    fun fence(patchId: String): LogBuilder = append(RecordCodec.encode(FenceRecord(patchId = patchId)))

    fun append(payload: ByteArray): LogBuilder {
        state = ConfigFold.apply(state, LogEntry(state.nextOffset, payload))
        return this
    }
}

fun service(
    name: String,
    timeoutMs: Int = 100,
) = "[services.$name]\ntimeout_ms = $timeoutMs\n"
