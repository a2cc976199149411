package dev.lycheehill.calls.admission

/**
 * Multilevel queue of calls. The levels are ordered by priority; within a priority, child calls ([AdmissionCall.isChild]) come
 * first. The levels of late calls ([AdmissionCall.isLate]) follow after all other levels, in the same order. Each level is first in,
 * first out. Not thread-safe.
 */
internal class MultilevelCallQueue {
    private val levels = Array(LEVELS) { ArrayDeque<AdmissionCall>() }

    var size = 0
        private set

    fun add(call: AdmissionCall) {
        levels[levelOf(call, call.isLate)].addLast(call)
        size++
    }

    fun remove(call: AdmissionCall): Boolean {
        val removed = levels[levelOf(call, call.isLate)].remove(call)
        if (removed) size--
        return removed
    }

    /** Removes and returns the most urgent call, or returns null if the queue is empty. */
    fun takeNext(): AdmissionCall? {
        if (size == 0) return null
        size--
        return levels.first { it.isNotEmpty() }.removeFirst()
    }

    /**
     * Returns the sum of [work] over the queued calls that would start before [call] if [call] were added now. [isLate] tells whether
     * [call] would be added as a late call.
     */
    fun workAhead(
        call: AdmissionCall,
        isLate: Boolean,
        work: (AdmissionCall) -> Double,
    ): Double {
        var sum = 0.0
        for (level in 0..levelOf(call, isLate)) for (queuedCall in levels[level]) sum += work(queuedCall)
        return sum
    }

    /** Returns the number of queued calls that would start before [call], as in [workAhead]. */
    fun callsAhead(
        call: AdmissionCall,
        isLate: Boolean,
    ): Int = (0..levelOf(call, isLate)).sumOf { levels[it].size }

    /** Removes and returns all calls for which [condition] holds. */
    fun takeIf(condition: (AdmissionCall) -> Boolean): List<AdmissionCall> {
        if (size == 0) return emptyList()
        val taken = levels.flatMap { level -> level.filter(condition) }
        taken.forEach(::remove)
        return taken
    }

    private fun levelOf(
        call: AdmissionCall,
        isLate: Boolean,
    ): Int {
        val level = 2 * call.priority.ordinal + if (call.isChild) 0 else 1
        return if (isLate) level + LEVELS / 2 else level
    }

    private companion object {
        val LEVELS = 2 * 2 * CallPriority.entries.size
    }
}
