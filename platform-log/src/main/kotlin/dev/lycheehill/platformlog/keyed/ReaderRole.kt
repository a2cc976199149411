package dev.lycheehill.platformlog.keyed

/** Role of a node in reading a topic that all nodes of a fleet follow. */
enum class ReaderRole {
    /** Reads new records with short waits, so that the fleet soon notices when an unresponsive store has recovered. */
    PROBER,

    /** Reads new records with long waits at the store. */
    READER,

    /** Reads the store at its start only, and gets new records from other nodes afterwards. */
    LISTENER,
}
