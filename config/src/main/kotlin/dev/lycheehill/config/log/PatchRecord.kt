package dev.lycheehill.config.log

import kotlinx.serialization.Serializable

/**
 * A patch published against version [baseVersion].
 *
 * @property baseHash content hash of the base version, in hex digits.
 * @property text the patch in TOML.
 * @property author who published the patch; not part of its id.
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
        /** Creates the record of [text] against the given base, with its id. */
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
