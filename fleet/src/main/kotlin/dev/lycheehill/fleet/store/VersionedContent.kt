package dev.lycheehill.fleet.store

import dev.lycheehill.config.model.ConfigContent

/** A whole configuration and its version. */
class VersionedContent(
    val version: Long,
    val content: ConfigContent,
)
