package dev.lycheehill.node.metrics

import dev.lycheehill.config.model.Priority
import dev.lycheehill.core.Verdict
import dev.lycheehill.fleet.membership.MemberState
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * The meters of one node.
 *
 * A meter is created when it is first used; once it exists, recording takes no lock. [route] returns the meters of one route.
 * A gauge has the value 0 until a source is bound to it. Thread-safe.
 *
 * @param isDeferred whether recordings are deferred until [stopDeferring] or a scrape, because the creation of the first meters
 * takes as long as many calls.
 * @param newRegistry creates the registry on first use.
 */
class NodeMetrics(
    isDeferred: Boolean = false,
    newRegistry: () -> PrometheusMeterRegistry = { PrometheusMeterRegistry(PrometheusConfig.DEFAULT) },
) : AutoCloseable {
    // Created by the first meter or scrape, because the creation takes a seventh of a node's startup time.
    private val lazyRegistry = lazy { newRegistry().also(::registerSources) }
    private val registry by lazyRegistry
    private val recordings = DeferredRecordings(isImmediate = !isDeferred)
    private val gaugeSources = ConcurrentHashMap<NodeMeter, () -> Number>()
    private val memberSources = ConcurrentHashMap<MemberState, () -> Number>()
    private val routeMetrics = ConcurrentHashMap<String, RouteMetrics>()
    private val ejectionCounters = ConcurrentHashMap<String, Counter>()
    private val invalidRequestCounters = ConcurrentHashMap<Int, Counter>()

    private val shedCounters = ShedReason.entries.map { lazy { counter(NodeMeter.SHEDS, it.label()) } }
    private val queueTimers = Priority.entries.map { lazy { timer(NodeMeter.QUEUE_TIME, it.label()) } }
    private val keyedCallCounters = KeyedAnswer.entries.map { lazy { counter(NodeMeter.KEYED_CALLS, it.label()) } }
    private val patchCounters = PatchResult.entries.map { lazy { counter(NodeMeter.PATCHES, it.label()) } }
    private val controlByteSources = ConcurrentHashMap<ControlDirection, () -> Number>()
    private val backendRequestCounter by lazy { counter(NodeMeter.BACKEND_REQUESTS) }
    private val unansweredCallCounts = CauseCounts()
    private val closedConnectionCounts = CauseCounts()
    private val silentConnectionCounter by lazy { counter(NodeMeter.SILENT_CONNECTIONS) }

    @Volatile
    private var refusedRecordsSource: () -> Number = { 0 }

    /** Number of calls that ended without a complete response. */
    val unansweredCalls: Long get() = unansweredCallCounts.total

    /** Returns the meters of the route with [name]. */
    fun route(name: String): RouteMetrics = routeMetrics.computeIfAbsent(name, ::newRouteMetrics)

    /** Removes the meters of all routes except those in [names], so that removed routes take no memory. */
    fun retainRoutes(names: Set<String>) {
        routeMetrics.keys.retainAll(names)
        if (!lazyRegistry.isInitialized()) return
        registry.meters
            .filter { meter -> meter.id.getTag("route")?.let { it !in names } == true }
            .forEach { registry.remove(it) }
    }

    /** Counts a call that the ingress refused before it ran. */
    fun countShedCall(reason: ShedReason) = recordings.add { shedCounters[reason.ordinal].value.increment() }

    /** Records the time in nanoseconds that a call waited in the queue of the ingress. */
    fun recordQueueTime(
        priority: Priority,
        waitNanos: Long,
    ) = recordings.add { queueTimers[priority.ordinal].value.record(waitNanos, TimeUnit.NANOSECONDS) }

    /** Counts the ejection of a target of [service]. */
    fun countEjection(service: String) = ejectionCounters.computeIfAbsent(service) { counter(NodeMeter.EJECTIONS, it) }.increment()

    /** Counts an invalid request that was refused with the HTTP [status]. */
    fun countInvalidRequest(status: Int) =
        invalidRequestCounters.computeIfAbsent(status) { counter(NodeMeter.INVALID_REQUESTS, it.toString()) }.increment()

    /** Counts a connection that was closed because it made no progress. */
    fun countSilentConnection() = silentConnectionCounter.increment()

    /** Counts a call of [source] that ended without a complete response. */
    fun countUnansweredCall(
        source: CallSource,
        cause: CloseCause,
    ) = unansweredCallCounts.increment(source, cause)

    /** Counts a connection of [source] that ended. */
    fun countClosedConnection(
        source: CallSource,
        cause: CloseCause,
    ) = closedConnectionCounts.increment(source, cause)

    /** Counts a request that was sent to the backend server of this node. */
    fun countBackendRequest() = recordings.add { backendRequestCounter.increment() }

    /** Counts the [answer] to a call with an idempotency key. */
    fun countKeyedCall(answer: KeyedAnswer) = keyedCallCounters[answer.ordinal].value.increment()

    /** Counts a patch that this node has applied or refused. */
    fun countPatch(result: PatchResult) = patchCounters[result.ordinal].value.increment()

    /** Makes each scrape read the number of refused records from [source]. The number must not decrease. */
    fun bindRefusedRecords(source: () -> Number) {
        refusedRecordsSource = source
    }

    /** Makes each scrape read the bytes of messages between nodes from [source]. The number must not decrease. */
    fun bindControlBytes(
        direction: ControlDirection,
        source: () -> Number,
    ) {
        controlByteSources[direction] = source
    }

    /**
     * Makes each scrape read the value of [meter] from [source].
     *
     * @throws IllegalArgumentException if [meter] is not a gauge without labels.
     */
    fun bindGauge(
        meter: NodeMeter,
        source: () -> Number,
    ) {
        require(meter.kind == MeterKind.GAUGE && meter.labels.isEmpty()) { "$meter is not a gauge without labels" }
        gaugeSources[meter] = source
    }

    /** Makes each scrape read the number of members in [state] from [source]. */
    fun bindMembers(
        state: MemberState,
        source: () -> Number,
    ) {
        memberSources[state] = source
    }

    /** Runs the deferred recordings, and makes each later recording immediate. */
    fun stopDeferring() = recordings.stopDeferring()

    /** Returns all meters in the Prometheus text format, including those that have recorded nothing yet. */
    fun scrape(): String {
        stopDeferring()
        (shedCounters + queueTimers + keyedCallCounters + patchCounters).forEach { it.value }
        backendRequestCounter
        silentConnectionCounter
        routeMetrics.values.forEach { it.registerAll() }
        return registry.scrape()
    }

    override fun close() {
        if (lazyRegistry.isInitialized()) registry.close()
    }

    private fun registerSources(registry: PrometheusMeterRegistry) {
        NodeMeter.entries
            .filter { it.kind == MeterKind.GAUGE && it.labels.isEmpty() }
            .forEach { meter -> gauge(registry, meter) { gaugeSources[meter]?.invoke() ?: 0 } }
        ControlDirection.entries.forEach { direction ->
            functionCounter(registry, NodeMeter.CONTROL_BYTES, direction.label()) { controlByteSources[direction]?.invoke() ?: 0 }
        }
        registerCauseCounts(registry, NodeMeter.UNANSWERED_CALLS, unansweredCallCounts)
        registerCauseCounts(registry, NodeMeter.CLOSED_CONNECTIONS, closedConnectionCounts)
        functionCounter(registry, NodeMeter.REFUSED_RECORDS) { refusedRecordsSource() }
        MemberState.entries.forEach { state -> gauge(registry, NodeMeter.MEMBERS, state.label()) { memberSources[state]?.invoke() ?: 0 } }
    }

    private fun registerCauseCounts(
        registry: PrometheusMeterRegistry,
        meter: NodeMeter,
        counts: CauseCounts,
    ) = CallSource.entries.forEach { source ->
        CloseCause.entries.forEach { cause -> functionCounter(registry, meter, source.label, cause.label) { counts.of(source, cause) } }
    }

    private fun newRouteMetrics(name: String): RouteMetrics =
        RouteMetrics(
            recordings = recordings,
            calls = Verdict.entries.map { lazy { timer(NodeMeter.CALLS, name, it.headerValue) } },
            retries = lazy { counter(NodeMeter.RETRIES, name) },
            retriesDenied = lazy { counter(NodeMeter.RETRIES_DENIED, name) },
            hedges = lazy { counter(NodeMeter.HEDGES, name) },
        )

    private fun counter(
        meter: NodeMeter,
        vararg values: String,
    ): Counter =
        Counter
            .builder(meter.meterName)
            .tags(tags(meter, values))
            .description(meter.meaning)
            .register(registry)

    private fun timer(
        meter: NodeMeter,
        vararg values: String,
    ): Timer =
        Timer
            .builder(meter.meterName)
            .tags(tags(meter, values))
            .description(meter.meaning)
            .serviceLevelObjectives(*BUCKET_BOUNDS)
            .register(registry)

    private fun gauge(
        registry: PrometheusMeterRegistry,
        meter: NodeMeter,
        vararg values: String,
        source: () -> Number,
    ): Meter =
        Gauge
            .builder(meter.meterName, source)
            .tags(tags(meter, values))
            .description(meter.meaning)
            .register(registry)

    private fun functionCounter(
        registry: PrometheusMeterRegistry,
        meter: NodeMeter,
        vararg values: String,
        source: () -> Number,
    ): Meter =
        FunctionCounter
            .builder(meter.meterName, source) { it().toDouble() }
            .tags(tags(meter, values))
            .description(meter.meaning)
            .register(registry)

    private fun tags(
        meter: NodeMeter,
        values: Array<out String>,
    ): List<Tag> = meter.labels.zip(values) { label, value -> Tag.of(label, value) }

    private fun Enum<*>.label(): String = name.lowercase()

    private companion object {
        val BUCKET_BOUNDS = longArrayOf(1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 10_000).map(Duration::ofMillis).toTypedArray()
    }
}
