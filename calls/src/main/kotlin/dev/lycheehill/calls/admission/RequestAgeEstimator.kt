package dev.lycheehill.calls.admission

/**
 * Estimates how long a caller has been waiting for a request before this attempt of it.
 *
 * Callers of a route state the same time with their first attempts, and most requests are first attempts. One that comes
 * back after a refusal states what is left, so the difference to the usual time is its age. Thread-safe.
 */
class RequestAgeEstimator {
    private val byRoute = RouteMap<UsualTime>()

    /** Returns the age in milliseconds of a request on [route] whose caller waits for another [statedMs]. */
    @Synchronized
    fun ageMs(
        route: String,
        statedMs: Long,
    ): Long {
        val usual = byRoute.getOrPut(route) { UsualTime(statedMs) }
        usual.observe(statedMs)
        return if (usual.isNear(statedMs)) 0 else (usual.valueMs - statedMs).coerceAtLeast(0)
    }

    /** The time that most requests state, found by a majority vote. */
    private class UsualTime(
        var valueMs: Long,
    ) {
        private var votes = 0

        fun isNear(statedMs: Long): Boolean = Math.abs(statedMs - valueMs) <= valueMs * TOLERANCE

        fun observe(statedMs: Long) {
            votes = if (isNear(statedMs)) minOf(votes + 1, MAX_VOTES) else votes - 1
            if (votes > 0) return
            valueMs = statedMs
            votes = 1
        }
    }

    private companion object {
        // Part of the time that passes on the way to the node.
        const val TOLERANCE = 0.02

        // Bounds the number of requests after which a change of the usual time is followed.
        const val MAX_VOTES = 32
    }
}
