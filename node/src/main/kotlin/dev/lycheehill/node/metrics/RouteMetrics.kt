package dev.lycheehill.node.metrics

import dev.lycheehill.core.Verdict
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/** The meters of one route. Users keep the instance together with the route, so that a call needs no lookup. Thread-safe. */
class RouteMetrics internal constructor(
    private val recordings: DeferredRecordings,
    private val calls: List<Lazy<Timer>>,
    private val retries: Lazy<Counter>,
    private val retriesDenied: Lazy<Counter>,
    private val hedges: Lazy<Counter>,
) {
    /** Records a finished call with its [verdict] and its duration in nanoseconds. */
    fun recordCall(
        verdict: Verdict,
        durationNanos: Long,
    ) = recordings.add { calls[verdict.ordinal].value.record(durationNanos, TimeUnit.NANOSECONDS) }

    /** Creates the meters that have recorded nothing yet, so that a scrape shows them. */
    internal fun registerAll() = (calls + listOf(retries, retriesDenied, hedges)).forEach { it.value }

    /** Counts an attempt after the first attempt of a call. */
    fun countRetry() = recordings.add { retries.value.increment() }

    /** Counts an attempt that the retry budget did not allow. */
    fun countDeniedRetry() = recordings.add { retriesDenied.value.increment() }

    /** Counts a second attempt that was sent while the first attempt was still running. */
    fun countHedge() = recordings.add { hedges.value.increment() }
}
