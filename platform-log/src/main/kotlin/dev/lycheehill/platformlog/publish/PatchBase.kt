package dev.lycheehill.platformlog.publish

/**
 * Base version of a patch: the version that the patch was written against.
 *
 * @property contentHash SHA-256 hash of the content of [version], in hex digits.
 */
data class PatchBase(
    val version: Long,
    val contentHash: String,
)
