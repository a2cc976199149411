package dev.lycheehill.calls.admission

/** Waiting calls in order of urgency: by priority, child calls first; then the late ones. Not thread-safe. */
internal class MultilevelCallQueue {
    private val levels = Array(LEVELS) { ArrayDeque<AdmissionCall>() }

    var size = 0
        private set

    fun add(call: AdmissionCall) {
        levels[levelOf(call, call.late)].addLast(call)
        size++
    }

    fun remove(call: AdmissionCall): Boolean {
        val removed = levels[levelOf(call, call.late)].remove(call)
        if (removed) size--
        return removed
    }

    /** Takes the most urgent call, or returns null when none waits. */
    fun next(): AdmissionCall? {
        if (size == 0) return null
        size--
        return levels.first { it.isNotEmpty() }.removeFirst()
    }

    /** Sum of [work] over the calls that would start before [call] if it were added now. */
    fun ahead(
        call: AdmissionCall,
        late: Boolean,
        work: (AdmissionCall) -> Double,
    ): Double {
        var sum = 0.0
        for (level in 0..levelOf(call, late)) for (waiting in levels[level]) sum += work(waiting)
        return sum
    }

    /** Takes all calls for which [condition] holds. */
    fun takeIf(condition: (AdmissionCall) -> Boolean): List<AdmissionCall> {
        if (size == 0) return emptyList()
        val taken = levels.flatMap { level -> level.filter(condition) }
        taken.forEach(::remove)
        return taken
    }

    private fun levelOf(
        call: AdmissionCall,
        late: Boolean,
    ): Int {
        val level = 2 * call.priority.ordinal + if (call.isChild) 0 else 1
        return if (late) level + LEVELS / 2 else level
    }

    private companion object {
        val LEVELS = 2 * 2 * CallPriority.entries.size
    }
}
