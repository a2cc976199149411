package dev.lycheehill.node.metrics

import dev.lycheehill.core.Verdict
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/** Meters of one route, resolved once. Callers keep it with the route, so that a call needs no lookup. */
class RouteMetrics internal constructor(
    private val calls: List<Timer>,
    private val retries: Counter,
    private val retriesDenied: Counter,
    private val hedges: Counter,
) {
    /** Counts a finished call. */
    fun callFinished(
        verdict: Verdict,
        durationNanos: Long,
    ) = calls[verdict.ordinal].record(durationNanos, TimeUnit.NANOSECONDS)

    /** Counts an attempt after the first. */
    fun retried() = retries.increment()

    /** Counts an attempt that the budget did not allow. */
    fun retryDenied() = retriesDenied.increment()

    /** Counts a second attempt beside a running one. */
    fun hedged() = hedges.increment()
}
