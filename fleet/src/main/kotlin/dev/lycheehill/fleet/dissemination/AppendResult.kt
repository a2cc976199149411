package dev.lycheehill.fleet.dissemination

/** Outcome of offering a record to a [FoldStore]. */
internal enum class AppendResult {
    /** The record was folded. */
    EXTENDED,

    /** The record lies below the next offset and equals the held one as far as is known. */
    KNOWN,

    /** The record lies below the next offset and differs from the held one. */
    DIFFERENT,

    /** Records before this one are missing. */
    GAP,

    /** The record does not extend the chain as its sender claims. */
    CHAIN_MISMATCH,

    /** The fold has stopped and follows the log no further. */
    STOPPED,
}
