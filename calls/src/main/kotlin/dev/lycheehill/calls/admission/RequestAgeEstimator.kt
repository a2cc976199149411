package dev.lycheehill.calls.admission

/**
 * Estimates how long a caller has already waited for a request before it sent the present attempt. Thread-safe.
 *
 * The callers of a route send the same remaining time with first attempts, and most requests are first attempts. A request
 * that is sent again after a refusal carries the time that is left, so its age is the difference to the usual time.
 */
class RequestAgeEstimator {
    private val byRoute = RouteMap<UsualTime>()

    /** Returns the age in milliseconds of a request on [route] whose caller states a remaining time of [statedMs] milliseconds. */
    @Synchronized
    fun ageMs(
        route: String,
        statedMs: Long,
    ): Long {
        val usual = byRoute.getOrPut(route) { UsualTime(statedMs) }
        usual.observe(statedMs)
        return if (usual.isNear(statedMs)) 0 else (usual.valueMs - statedMs).coerceAtLeast(0)
    }

    /** The remaining time that most requests state, found by a majority vote. */
    private class UsualTime(
        var valueMs: Long,
    ) {
        private var votes = 0

        fun isNear(statedMs: Long): Boolean = Math.abs(statedMs - valueMs) <= valueMs * RELATIVE_TOLERANCE

        fun observe(statedMs: Long) {
            votes = if (isNear(statedMs)) minOf(votes + 1, MAX_VOTES) else votes - 1
            if (votes > 0) return
            valueMs = statedMs
            votes = 1
        }
    }

    private companion object {
        // Relative difference that counts as equal, because some time passes on the way to the node.
        const val RELATIVE_TOLERANCE = 0.02

        // Bounds the number of requests that it takes to follow a change of the usual time.
        const val MAX_VOTES = 32
    }
}
