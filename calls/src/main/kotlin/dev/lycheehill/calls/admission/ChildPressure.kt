package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Reduces the calls of a route whose own calls to other services are refused.
 *
 * It answers the load in which one service is short of room and calls of less urgent requests press on it through another
 * service: work that has begun there is lost when one of its calls is refused. So the share of the route that is admitted
 * falls while its calls are refused, and rises again when they are not (additive increase, multiplicative decrease).
 *
 * Thread-safe.
 */
class ChildPressure(
    private val settings: ChildPressureSettings = ChildPressureSettings(),
) {
    private val byRoute = RouteMap<RouteShare>()

    /** A call that a running request of [route] made has ended; [refused] tells whether it was refused for load. */
    @Synchronized
    fun onChildEnd(
        route: String,
        refused: Boolean,
        nowNanos: Long,
    ) {
        val share = byRoute.getOrPut(route) { RouteShare(nowNanos) }
        share.ended++
        if (refused) share.refused++
        share.review(nowNanos)
    }

    /** Whether a new call of [route] is admitted; [random] is uniform between 0 and 1. */
    @Synchronized
    fun admits(
        route: String,
        random: Double,
        nowNanos: Long,
    ): Boolean {
        val share = byRoute[route] ?: return true
        share.review(nowNanos)
        return random < share.admitted
    }

    private inner class RouteShare(
        private var reviewedNanos: Long,
    ) {
        var admitted = 1.0
        var ended = 0
        var refused = 0

        fun review(nowNanos: Long) {
            val periods = (nowNanos - reviewedNanos) / (settings.periodMs * NANOS_PER_MILLI)
            if (periods <= 0) return
            val refusedShare = if (ended == 0) 0.0 else refused.toDouble() / ended
            admitted =
                if (refusedShare > settings.toleratedShare) {
                    maxOf(settings.leastAdmitted, admitted * (1 - refusedShare * settings.decrease))
                } else {
                    minOf(1.0, admitted + settings.increase * periods)
                }
            ended = 0
            refused = 0
            reviewedNanos = nowNanos
        }
    }
}
