package dev.lycheehill.standins.backend

import java.util.concurrent.ConcurrentHashMap

/** Runs by request key, so that tests can count how often a request ran. Several servers can share one. Thread-safe. */
class RunCounter {
    private val byKey = ConcurrentHashMap<String, RunCounts>()

    /** Runs of the request with [key]. */
    fun countsOf(key: String): RunCounts = byKey[key] ?: RunCounts()

    /** All runs by key. */
    fun all(): Map<String, RunCounts> = byKey.toMap()

    internal fun started(key: String) = change(key) { it.copy(started = it.started + 1) }

    internal fun finished(key: String) = change(key) { it.copy(finished = it.finished + 1) }

    internal fun cancelled(key: String) = change(key) { it.copy(cancelled = it.cancelled + 1) }

    private fun change(
        key: String,
        next: (RunCounts) -> RunCounts,
    ) {
        byKey.compute(key) { _, record -> next(record ?: RunCounts()) }
    }
}
