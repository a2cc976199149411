package dev.lycheehill.calls.admission

/** Queued calls by priority and cost class, each in order of arrival. Not thread-safe. */
internal class CallQueue {
    private val short = Array(PRIORITIES) { ArrayDeque<AdmissionCall>() }
    private val long = Array(PRIORITIES) { ArrayDeque<AdmissionCall>() }

    var size = 0
        private set

    /** Number of queued long calls. */
    var longSize = 0
        private set

    /** Number of queued short calls. */
    val shortSize: Int get() = size - longSize

    fun add(call: AdmissionCall) {
        queueOf(call).addLast(call)
        adjustSize(call, 1)
    }

    fun remove(call: AdmissionCall): Boolean {
        val removed = queueOf(call).remove(call)
        if (removed) adjustSize(call, -1)
        return removed
    }

    /**
     * Removes and returns the next call of the highest priority among the allowed classes, or returns null if there is none.
     * Within a class, the next call is the oldest, or the newest if [newestShort] or [newestLong] says so.
     */
    fun takeNext(
        shortAllowed: Boolean,
        longAllowed: Boolean,
        newestShort: Boolean,
        newestLong: Boolean,
    ): AdmissionCall? {
        for (priority in 0 until PRIORITIES) {
            val shortCall = if (shortAllowed) short[priority].peek(newestShort) else null
            val longCall = if (longAllowed) long[priority].peek(newestLong) else null
            val call = older(shortCall, longCall) ?: continue
            remove(call)
            return call
        }
        return null
    }

    /**
     * Removes and returns the oldest call of the lowest priority in the given classes, or returns null if all calls there have
     * a higher priority than [atMost].
     */
    fun takeForEviction(
        atMost: CallPriority,
        fromShort: Boolean,
        fromLong: Boolean,
    ): AdmissionCall? {
        for (priority in PRIORITIES - 1 downTo atMost.ordinal) {
            val shortCall = if (fromShort) short[priority].firstOrNull() else null
            val longCall = if (fromLong) long[priority].firstOrNull() else null
            val call = older(shortCall, longCall) ?: continue
            remove(call)
            return call
        }
        return null
    }

    /** Removes and returns all calls for which [condition] holds. */
    fun takeIf(condition: (AdmissionCall) -> Boolean): List<AdmissionCall> {
        if (size == 0) return emptyList()
        val taken = ArrayList<AdmissionCall>()
        for (queue in short) queue.filterTo(taken, condition)
        for (queue in long) queue.filterTo(taken, condition)
        taken.forEach(::remove)
        return taken
    }

    private fun older(
        one: AdmissionCall?,
        other: AdmissionCall?,
    ): AdmissionCall? =
        when {
            one == null || other == null -> one ?: other
            one.queuedAtNanos - other.queuedAtNanos <= 0 -> one
            else -> other
        }

    private fun ArrayDeque<AdmissionCall>.peek(newest: Boolean): AdmissionCall? = if (newest) lastOrNull() else firstOrNull()

    private fun queueOf(call: AdmissionCall): ArrayDeque<AdmissionCall> = (if (call.isLong) long else short)[call.priority.ordinal]

    private fun adjustSize(
        call: AdmissionCall,
        by: Int,
    ) {
        size += by
        if (call.isLong) longSize += by
    }

    private companion object {
        val PRIORITIES = CallPriority.entries.size
    }
}
