package dev.lycheehill.calls.verdict

/**
 * Allowances of the calls that the node's own target is running, by call tree. The child calls of one call find the
 * same [RetryAllowance] here and share it. Thread-safe.
 *
 * At most [capacity] trees are held. Beyond that, and for an unknown tree below the root, there are no retries.
 */
class CallTreeAllowances(
    private val capacity: Int = 10_000,
) {
    private val byTree = HashMap<String, Entry>()

    /** Registers a call that the target starts with [allowance]; it is released with [finish]. */
    @Synchronized
    fun start(
        treeId: String,
        allowance: RetryAllowance,
    ) {
        val entry = byTree[treeId]
        when {
            entry != null -> entry.join(allowance)
            byTree.size < capacity -> byTree[treeId] = Entry(allowance)
        }
    }

    /**
     * Allowance for a child call in [treeId]. A call that names no running tree gets the value of its own [header]; the
     * header of a call in a running tree is not counted, because the target copies it to each of its child calls.
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

    /** Releases the tree and returns the units that were not used, for the response. */
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
        // One tree can reach the same node twice; the later call adds the units it was lent.
        fun join(more: RetryAllowance) {
            calls++
            allowance.giveBack(more.left)
        }
    }
}
