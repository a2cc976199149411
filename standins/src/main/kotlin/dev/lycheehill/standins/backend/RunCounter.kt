package dev.lycheehill.standins.backend

import java.util.concurrent.ConcurrentHashMap

/** Counts by request key how often a request ran. Several stand-ins can share one counter. Thread-safe. */
class RunCounter {
    private val countsByKey = ConcurrentHashMap<String, RunCounts>()

    /** Returns the counts of the request with [key]. */
    fun countsOf(key: String): RunCounts = countsByKey[key] ?: RunCounts()

    /** Returns the counts of all requests by key. */
    fun all(): Map<String, RunCounts> = countsByKey.toMap()

    internal fun recordStart(key: String) = update(key) { it.copy(started = it.started + 1) }

    internal fun recordFinish(key: String) = update(key) { it.copy(finished = it.finished + 1) }

    internal fun recordCancellation(key: String) = update(key) { it.copy(cancelled = it.cancelled + 1) }

    private fun update(
        key: String,
        next: (RunCounts) -> RunCounts,
    ) {
        countsByKey.compute(key) { _, counts -> next(counts ?: RunCounts()) }
    }
}
