package dev.lycheehill.node.metrics

import dev.lycheehill.core.Verdict
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/** Meters of one route, resolved once. Callers keep it with the route, so that a call needs no lookup. */
class RouteMetrics internal constructor(
    private val recordings: DeferredRecordings,
    private val calls: List<Lazy<Timer>>,
    private val retries: Lazy<Counter>,
    private val retriesDenied: Lazy<Counter>,
    private val hedges: Lazy<Counter>,
) {
    /** Counts a finished call. */
    fun recordCall(
        verdict: Verdict,
        durationNanos: Long,
    ) = recordings.add { calls[verdict.ordinal].value.record(durationNanos, TimeUnit.NANOSECONDS) }

    /** Makes the meters that have counted nothing yet. */
    internal fun registerAll() = (calls + listOf(retries, retriesDenied, hedges)).forEach { it.value }

    /** Counts an attempt after the first. */
    fun countRetry() = recordings.add { retries.value.increment() }

    /** Counts an attempt that the budget did not allow. */
    fun countDeniedRetry() = recordings.add { retriesDenied.value.increment() }

    /** Counts a second attempt beside a running one. */
    fun countHedge() = recordings.add { hedges.value.increment() }
}
