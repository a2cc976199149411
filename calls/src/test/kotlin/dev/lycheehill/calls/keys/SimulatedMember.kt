package dev.lycheehill.calls.keys

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** A simulated process with its own clocks: a monotonic clock that drifts by up to 1%, and a wall clock that is off by up to 1 s. */
internal class SimulatedMember(
    val id: String,
    private val rate: Double,
    private val wallSkewMs: Long,
    private val settings: KeySettings,
) {
    var bootId = 1L
        private set
    var requests = KeyedRequests(id, bootId, WALL_MS, settings)
        private set
    var seenEpochs = 0
    var isUp = true
    var group = 0
    var pausedUntilMs = 0L

    fun nowNanos(realMs: Long): Long = (realMs * rate * NANOS_PER_MILLI).toLong()

    fun wallMs(realMs: Long): Long = WALL_MS + realMs + wallSkewMs

    /** Restarts the process with empty state, and with a new boot id unless [sameBoot] is true. */
    fun restart(
        realMs: Long,
        sameBoot: Boolean,
    ) {
        if (!sameBoot) bootId++
        requests = KeyedRequests(id, bootId, wallMs(realMs), settings)
        seenEpochs = 0
        isUp = true
    }

    /** Ends the pause and the partition of the process. */
    fun heal(realMs: Long) {
        pausedUntilMs = realMs
        group = 0
    }

    companion object {
        const val WALL_MS = 1_700_000_000_000L
    }
}
