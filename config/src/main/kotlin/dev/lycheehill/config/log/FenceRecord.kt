package dev.lycheehill.config.log

import kotlinx.serialization.Serializable

/** Fences patch [patchId]: the patch is refused if it follows this record in the log and has not been accepted before. */
@Serializable
data class FenceRecord(
    val format: Int = RecordCodec.FORMAT,
    val kind: String = RecordCodec.KIND_FENCE,
    override val patchId: String,
) : PatchScopedRecord
