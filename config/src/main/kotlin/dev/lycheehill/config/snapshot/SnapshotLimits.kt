package dev.lycheehill.config.snapshot

/** Bounds of the snapshots in the log. */
object SnapshotLimits {
    /** Longest encoded part, in bytes. */
    const val MAX_PART_BYTES: Int = 128 * 1024

    /** Most parts of one snapshot. The bound limits the memory that an incomplete snapshot occupies. */
    const val MAX_PARTS: Int = 128

    // Room for the fields of a part other than its bytes.
    internal const val PART_HEADER_BYTES = 512
}
