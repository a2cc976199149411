package dev.lycheehill.standins.backend

import java.util.concurrent.ConcurrentHashMap

/** Runs by request key, so that tests can count how often a request ran. Several servers can share one. Thread-safe. */
class RunLog {
    private val byKey = ConcurrentHashMap<String, RunRecord>()

    /** Runs of the request with [key]. */
    fun of(key: String): RunRecord = byKey[key] ?: RunRecord()

    /** All runs by key. */
    fun all(): Map<String, RunRecord> = byKey.toMap()

    internal fun started(key: String) = change(key) { it.copy(started = it.started + 1) }

    internal fun finished(key: String) = change(key) { it.copy(finished = it.finished + 1) }

    internal fun cancelled(key: String) = change(key) { it.copy(cancelled = it.cancelled + 1) }

    private fun change(
        key: String,
        next: (RunRecord) -> RunRecord,
    ) {
        byKey.compute(key) { _, record -> next(record ?: RunRecord()) }
    }
}
