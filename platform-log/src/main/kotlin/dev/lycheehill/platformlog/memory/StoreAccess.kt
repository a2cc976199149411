package dev.lycheehill.platformlog.memory

/** Faults of one node's access to an [InMemoryKeyedStore]. */
class StoreAccess {
    /** The store refuses all calls of the node. */
    var isRefusing = false

    /** Waiting reads get no answer. */
    var isSilent = false

    /** Writes take effect and are not answered. */
    var losesWriteAnswers = false
}
