package dev.lycheehill.fleet.dissemination

/** Outcome of offering a record to a [FoldStore]. */
internal enum class AppendResult {
    /** The record was appended and folded into the state. */
    EXTENDED,

    /** The record lies below the next offset and does not differ from the held record, or that record is no longer held. */
    KNOWN,

    /** The record lies below the next offset and differs from the held record. */
    DIFFERENT,

    /** Records before the offered record are missing. */
    GAP,

    /** The chain hash that the sender claims does not follow from the records held by this node. */
    CHAIN_MISMATCH,

    /** The fold has stopped at an earlier record or at this one, and accepts no further records. */
    STOPPED,
}
