package dev.lycheehill.node.api

/** One entry of `GET /v1/show/versions`; [patchId] is empty for a version without a patch. */
data class VersionView(
    val version: Long,
    val patchId: String,
)
