package dev.lycheehill.config.fold

import dev.lycheehill.config.log.FenceRecord
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec

/** In-memory log of stream `config` that folds each record when the record is appended. */
class LogBuilder(
    var state: FoldState = FoldState.initial(),
) {
    /** Returns a record of the patch [text] against [base]. The record is not appended. */
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

/** Returns the text of a patch that sets service [name]. */
fun service(
    name: String,
    timeoutMs: Int = 100,
) = "[services.$name]\ntimeout_ms = $timeoutMs\n"
