package dev.lycheehill.platformlog.keyed

/** Part of one node in reading a topic that all nodes of a fleet follow. */
enum class ReaderRole {
    /** Its reads are short, so that a store that had fallen silent for all is soon found again. */
    PROBER,

    /** Waits at the store for new records. */
    READER,

    /** Does not read after its start; it learns new records from other nodes. */
    LISTENER,
}
