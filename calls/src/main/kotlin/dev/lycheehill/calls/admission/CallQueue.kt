package dev.lycheehill.calls.admission

/** Waiting calls by priority and cost class, each in order of arrival. Not thread-safe. */
internal class CallQueue {
    private val short = Array(PRIORITIES) { ArrayDeque<AdmissionCall>() }
    private val long = Array(PRIORITIES) { ArrayDeque<AdmissionCall>() }

    var size = 0
        private set

    /** Number of waiting long calls. */
    var longSize = 0
        private set

    /** Number of waiting short calls. */
    val shortSize: Int get() = size - longSize

    fun add(call: AdmissionCall) {
        queueOf(call).addLast(call)
        count(call, 1)
    }

    fun remove(call: AdmissionCall): Boolean {
        val removed = queueOf(call).remove(call)
        if (removed) count(call, -1)
        return removed
    }

    /**
     * Takes the next call of the highest priority among the allowed classes. Within a class this is the call that waits
     * longest, or the newest one.
     */
    fun next(
        shortAllowed: Boolean,
        longAllowed: Boolean,
        newestShort: Boolean,
        newestLong: Boolean,
    ): AdmissionCall? {
        for (priority in 0 until PRIORITIES) {
            val one = if (shortAllowed) short[priority].end(newestShort) else null
            val other = if (longAllowed) long[priority].end(newestLong) else null
            val call = older(one, other) ?: continue
            remove(call)
            return call
        }
        return null
    }

    /** Takes the longest waiting call of the lowest priority in the given classes, if that priority is [atMost] or lower. */
    fun dropCandidate(
        atMost: CallPriority,
        fromShort: Boolean,
        fromLong: Boolean,
    ): AdmissionCall? {
        for (priority in PRIORITIES - 1 downTo atMost.ordinal) {
            val one = if (fromShort) short[priority].firstOrNull() else null
            val other = if (fromLong) long[priority].firstOrNull() else null
            val call = older(one, other) ?: continue
            remove(call)
            return call
        }
        return null
    }

    /** Takes all calls for which [condition] holds. */
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

    private fun ArrayDeque<AdmissionCall>.end(newest: Boolean): AdmissionCall? = if (newest) lastOrNull() else firstOrNull()

    private fun queueOf(call: AdmissionCall): ArrayDeque<AdmissionCall> = (if (call.long) long else short)[call.priority.ordinal]

    private fun count(
        call: AdmissionCall,
        by: Int,
    ) {
        size += by
        if (call.long) longSize += by
    }

    private companion object {
        val PRIORITIES = CallPriority.entries.size
    }
}
