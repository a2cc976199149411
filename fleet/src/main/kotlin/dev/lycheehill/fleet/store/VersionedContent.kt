package dev.lycheehill.fleet.store

import dev.lycheehill.config.model.ConfigContent

/** Complete configuration with its version. */
class VersionedContent(
    val version: Long,
    val content: ConfigContent,
)
