package dev.lycheehill.config.fold

/** Bounds of the fold state. They are part of the fold: all nodes must use the same values. */
object FoldLimits {
    /** Versions whose patch ids are kept: the planned number of changes of one day. */
    const val MAX_HISTORY_VERSIONS: Int = 11_000

    /** Refusals whose reasons are kept. */
    const val MAX_REFUSALS: Int = 1_024

    /** Fences kept before a version with the same content drops them. */
    const val MAX_FENCES: Int = 1_024

    /** Longest kept reason, in characters. */
    const val MAX_REASON_CHARS: Int = 240
}
