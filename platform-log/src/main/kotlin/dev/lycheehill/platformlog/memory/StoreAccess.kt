package dev.lycheehill.platformlog.memory

/** Faults of one node's access to an [InMemoryKeyedStore]. */
class StoreAccess {
    /** The store refuses all calls of the node. */
    var isRefusing = false

    /** Calls get no answer, and reads that wait get none after the end of the silence. */
    var isUnresponsive = false
        set(value) {
            if (value) unresponsivePeriods++
            field = value
        }

    /** Number of silences so far. */
    var unresponsivePeriods = 0
        private set

    /** Writes take effect and are not answered. */
    var losesWriteResponses = false
}
