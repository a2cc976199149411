package dev.lycheehill.platformlog.publish

/**
 * The version that a patch is written against.
 *
 * @property contentHash content hash of [version] in hex digits.
 */
data class PatchBase(
    val version: Long,
    val contentHash: String,
)
