package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.LoadReport

/** Form of the `lycheehill-load` header: calls in flight and mean latency in microseconds, as in `7,1200`. */
internal object LoadHeader {
    private const val NANOS_PER_MICRO = 1_000

    fun format(
        inFlight: Int,
        latencyNanos: Long,
    ): String = "$inFlight,${latencyNanos / NANOS_PER_MICRO}"

    /** Returns null for a value of another form. */
    fun parse(value: String): LoadReport? {
        val comma = value.indexOf(',')
        if (comma < 0) return null
        val inFlight = value.substring(0, comma).toIntOrNull() ?: return null
        val micros = value.substring(comma + 1).toLongOrNull() ?: return null
        return LoadReport(inFlight, micros * NANOS_PER_MICRO)
    }
}
