package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.LoadReport

/** Format of the `lh-load` header: calls in flight, mean latency in microseconds, queued calls and slots, as in `7,1200,0,10`. */
internal object LoadHeader {
    private const val NANOS_PER_MICRO = 1_000
    private const val FIELD_COUNT = 4

    fun format(load: LoadReport): String = "${load.inFlight},${load.latencyNanos / NANOS_PER_MICRO},${load.queued},${load.slots}"

    /** Returns the parsed load, or null if [value] is malformed. */
    fun parse(value: String): LoadReport? {
        val fields = value.split(',').map { it.toLongOrNull() ?: return null }
        if (fields.size != FIELD_COUNT) return null
        return LoadReport(fields[0].toInt(), fields[1] * NANOS_PER_MICRO, fields[2].toInt(), fields[3].toInt())
    }
}
