package dev.lycheehill.config.log

import kotlinx.serialization.Serializable

/** Refuses patch [patchId] unless the patch lies before the fence in the log. */
@Serializable
data class FenceRecord(
    val format: Int = RecordCodec.FORMAT,
    val kind: String = RecordCodec.KIND_FENCE,
    override val patchId: String,
) : PatchScopedRecord
