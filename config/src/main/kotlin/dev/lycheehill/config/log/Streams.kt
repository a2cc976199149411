package dev.lycheehill.config.log

/** Names of the streams of the platform's log. */
object Streams {
    /** Patches, fences and home epochs. */
    const val CONFIG: String = "config"

    /** Snapshots of the fold state. */
    const val SNAPSHOTS: String = "snapshots"
}
