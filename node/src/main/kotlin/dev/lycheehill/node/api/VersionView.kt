package dev.lycheehill.node.api

/**
 * One entry of the response of `GET /v1/show/versions`.
 *
 * @property patchId id of the patch that created the version; empty for a version that no patch created.
 */
data class VersionView(
    val version: Long,
    val patchId: String,
)
