package dev.lycheehill.platformlog.memory

/** Faults injected into the calls of one node to an [InMemoryKeyedStore]. */
class StoreAccess {
    /** Whether the store refuses all calls of the node. */
    var isRefusing = false

    /** Whether calls get no response. Reads that are waiting when the store becomes unresponsive get none after its recovery. */
    var isUnresponsive = false
        set(value) {
            if (value) unresponsivePeriods++
            field = value
        }

    /** Number of unresponsive periods so far. */
    var unresponsivePeriods = 0
        private set

    /** Time by which the responses to the node are later than those to other nodes, in milliseconds. */
    var additionalDelayMs = 0L

    /** Whether the responses to writes are lost after the writes have taken effect. */
    var losesWriteResponses = false
}
