package dev.lycheehill.config.log

/** Names of the streams in the platform's log. */
object Streams {
    /** Stream of patches, fences and home epochs. */
    const val CONFIG: String = "config"

    /** Stream of snapshots of the fold state. */
    const val SNAPSHOTS: String = "snapshots"
}
