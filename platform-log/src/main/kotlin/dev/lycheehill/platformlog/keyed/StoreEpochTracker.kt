package dev.lycheehill.platformlog.keyed

/**
 * Tracks the epoch of the store by the responses that a node receives. Confined to one thread, except that [current] may be
 * read by any thread.
 *
 * @param onRestore called with the new epoch when the first response shows that the store was restored from an older copy.
 */
class StoreEpochTracker(
    private val onRestore: (epoch: Long) -> Unit,
) {
    /** Highest epoch of all responses so far; [StoreEpoch.UNKNOWN] before the first response that names one. */
    @Volatile
    var current = StoreEpoch.UNKNOWN
        private set

    private var reported = StoreEpoch.UNKNOWN

    /**
     * Records that another node reports [epoch]. Returns whether this is the first report of a restore that no response has shown yet.
     *
     * The report does not change [current], which would make this node refuse the responses of the store if the report were wrong.
     */
    fun recordReport(epoch: Long): Boolean {
        if (current == StoreEpoch.UNKNOWN || epoch <= maxOf(current, reported)) return false
        reported = epoch
        return true
    }

    /**
     * Records that a response names [epoch]. Returns false if the response is from an earlier epoch, so that what it acknowledges or
     * describes may have been lost since.
     */
    fun observe(epoch: Long): Boolean {
        if (epoch == StoreEpoch.UNKNOWN) return true
        val previous = current
        if (epoch < previous) return false
        current = epoch
        if (epoch > previous && previous != StoreEpoch.UNKNOWN) onRestore(epoch)
        return true
    }
}
