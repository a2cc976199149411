package dev.lycheehill.measure.emulator

/** Arrivals at backend servers that state a limit, compared with what the limit allows in each window of [WINDOW_MS]. */
internal class LimitUse {
    private class Arrival(
        val atMs: Long,
        val requestsPerSecond: Double?,
    )

    private val arrivalsByServer = HashMap<String, ArrayList<Arrival>>()

    /** Records an arrival at [serverId] while the server states the limit [requestsPerSecond]; null for none. */
    fun recordArrival(
        serverId: String,
        atMs: Long,
        requestsPerSecond: Double?,
    ) {
        arrivalsByServer.getOrPut(serverId, ::ArrayList).add(Arrival(atMs, requestsPerSecond))
    }

    /**
     * Returns the most arrivals in a window as a share of the allowed number, which is [TOLERANCE_FACTOR] times the limit plus
     * [TOLERANCE_REQUESTS]. Windows count that begin [CONTACT_MS] or later after the server first stated the limit.
     */
    fun maxShare(): Double = arrivalsByServer.values.maxOfOrNull(::maxShareOf) ?: 0.0

    private fun maxShareOf(arrivals: List<Arrival>): Double {
        val limited = arrivals.filter { it.requestsPerSecond != null }
        val firstMs = limited.firstOrNull()?.atMs ?: return 0.0
        var end = 0
        var maxShare = 0.0
        for ((start, arrival) in limited.withIndex()) {
            while (end < limited.size && limited[end].atMs < arrival.atMs + WINDOW_MS) end++
            val allowed = TOLERANCE_FACTOR * (arrival.requestsPerSecond ?: 0.0) * WINDOW_MS / MILLIS_PER_SECOND + TOLERANCE_REQUESTS
            if (arrival.atMs >= firstMs + CONTACT_MS) maxShare = maxOf(maxShare, (end - start) / allowed)
        }
        return maxShare
    }

    private companion object {
        const val CONTACT_MS = 3_000L
        const val WINDOW_MS = 4_000L
        const val MILLIS_PER_SECOND = 1_000
        const val TOLERANCE_FACTOR = 1.5
        const val TOLERANCE_REQUESTS = 5
    }
}
