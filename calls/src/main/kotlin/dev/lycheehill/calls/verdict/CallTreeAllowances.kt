package dev.lycheehill.calls.verdict

/**
 * Retry allowances of the calls that the backend server of this node is running, by call tree. The child calls of one call
 * share the [RetryAllowance] that is registered here. Thread-safe.
 *
 * At most [capacity] trees are registered. While the registry is full, a call with a header gets no retries unless its tree is
 * registered.
 */
class CallTreeAllowances(
    private val capacity: Int = 10_000,
) {
    private val byTree = HashMap<String, Entry>()

    /** Registers a call that starts at the backend server with [allowance]. The call must be released with [finish]. */
    @Synchronized
    fun start(
        treeId: String,
        allowance: RetryAllowance,
    ) {
        val entry = byTree[treeId]
        when {
            entry != null -> entry.addCall(allowance)
            byTree.size < capacity -> byTree[treeId] = Entry(allowance)
        }
    }

    /**
     * Returns the allowance for a child call in [treeId]. A call of an unregistered tree gets the value of its own [header]. The
     * header of a call in a registered tree is ignored, because the backend server copies the header to each child call.
     */
    @Synchronized
    fun forChild(
        treeId: String?,
        header: String?,
    ): RetryAllowance {
        val entry = treeId?.let { byTree[it] }
        return when {
            entry != null -> entry.allowance
            header != null && byTree.size >= capacity -> RetryAllowance(0)
            else -> RetryAllowance.received(header)
        }
    }

    /** Releases a call of the tree. Returns the units to report as unused in the response; 0 while other calls of the tree run. */
    @Synchronized
    fun finish(treeId: String): Int {
        val entry = byTree[treeId] ?: return 0
        entry.calls--
        if (entry.calls > 0) return 0
        byTree.remove(treeId)
        return entry.allowance.left
    }

    private class Entry(
        val allowance: RetryAllowance,
        var calls: Int = 1,
    ) {
        // A call tree can reach the same node twice. The later call adds the units that were lent to it.
        fun addCall(lent: RetryAllowance) {
            calls++
            allowance.giveBack(lent.left)
        }
    }
}
