package dev.lycheehill.config.fold

/** Bounds of the fold state. All nodes must use the same values, because the bounds determine the result of the fold. */
object FoldLimits {
    /** Number of recent versions whose patch ids are kept. The number suffices for the changes of one day. */
    const val MAX_HISTORY_VERSIONS: Int = 11_000

    /** Number of recent refusals whose reasons are kept. */
    const val MAX_REFUSALS: Int = 1_024

    /**
     * Number of fences that are kept. A further fence makes the fold start a new version with the same content and drop all
     * fences.
     */
    const val MAX_FENCES: Int = 1_024

    /** Length to which the reason of a refusal is truncated, in characters. */
    const val MAX_REASON_CHARS: Int = 240
}
