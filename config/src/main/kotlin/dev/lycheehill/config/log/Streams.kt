package dev.lycheehill.config.log

/** Names of the streams of the platform's log. */
object Streams {
    /** Patches and fences. */
    const val CONFIG: String = "config"

    /** Snapshots of the fold state. */
    const val SNAPSHOTS: String = "snapshots"

    /** Home epochs of the key domains. */
    const val HOMES: String = "homes"
}
