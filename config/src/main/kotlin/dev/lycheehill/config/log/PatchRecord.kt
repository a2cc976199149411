package dev.lycheehill.config.log

import kotlinx.serialization.Serializable

/**
 * Record of a published patch.
 *
 * @property baseVersion version that the patch was written against.
 * @property baseHash content hash of the base version, in hex digits.
 * @property text text of the patch in TOML.
 * @property author person or program that published the patch. The author is not part of the patch id.
 */
@Serializable
data class PatchRecord(
    val format: Int = RecordCodec.FORMAT,
    val kind: String = RecordCodec.KIND_PATCH,
    override val patchId: String,
    val baseVersion: Long,
    val baseHash: String,
    val text: String,
    val author: String = "",
) : PatchScopedRecord {
    companion object {
        /** Creates the record of the patch [text] against the given base version and computes the patch id. */
        fun of(
            baseVersion: Long,
            baseHash: String,
            text: String,
            author: String = "",
        ): PatchRecord =
            PatchRecord(
                patchId = PatchId.of(baseVersion, baseHash, text).value,
                baseVersion = baseVersion,
                baseHash = baseHash,
                text = text,
                author = author,
            )
    }
}
