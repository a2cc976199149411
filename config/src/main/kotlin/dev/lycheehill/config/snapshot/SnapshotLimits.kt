package dev.lycheehill.config.snapshot

/** Bounds of the snapshots in the log. */
object SnapshotLimits {
    /** Longest encoded part, in bytes. */
    const val MAX_PART_BYTES: Int = 128 * 1024

    /** Most parts of one snapshot. Bounds the memory that an unfinished snapshot can hold. */
    const val MAX_PARTS: Int = 128

    // Room for the other fields of a part.
    internal const val PART_HEADER_BYTES = 512
}
