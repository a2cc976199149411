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
 * Meters of one node.
 *
 * Each meter is made when it is first used: those with a fixed set of labels here, those of a route in [route]. After that,
 * recording takes no lock. Gauges read 0 until [bindGauge] gives them a source.
 *
 * @param isDeferred whether recordings are kept until [stopDeferring] or a scrape, as the first meters cost as much as many calls.
 */
class NodeMetrics(
    isDeferred: Boolean = false,
    newRegistry: () -> PrometheusMeterRegistry = { PrometheusMeterRegistry(PrometheusConfig.DEFAULT) },
) : AutoCloseable {
    // Made by the first meter that is used or by a scrape, as its start costs a seventh of that of a node.
    private val lazyRegistry = lazy { newRegistry().also(::registerSources) }
    private val registry by lazyRegistry
    private val recordings = DeferredRecordings(isImmediate = !isDeferred)
    private val gaugeSources = ConcurrentHashMap<NodeMeter, () -> Number>()
    private val memberSources = ConcurrentHashMap<MemberState, () -> Number>()
    private val routes = ConcurrentHashMap<String, RouteMetrics>()
    private val ejections = ConcurrentHashMap<String, Counter>()
    private val invalidRequests = ConcurrentHashMap<Int, Counter>()

    private val sheds = ShedReason.entries.map { lazy { counter(NodeMeter.SHEDS, it.label()) } }
    private val queueTimes = Priority.entries.map { lazy { timer(NodeMeter.QUEUE_TIME, it.label()) } }
    private val keyedCalls = KeyedAnswer.entries.map { lazy { counter(NodeMeter.KEYED_CALLS, it.label()) } }
    private val patches = PatchResult.entries.map { lazy { counter(NodeMeter.PATCHES, it.label()) } }
    private val controlSources = ConcurrentHashMap<ControlDirection, () -> Number>()
    private val silentConnections by lazy { counter(NodeMeter.SILENT_CONNECTIONS) }

    @Volatile
    private var refusedRecordsSource: () -> Number = { 0 }

    /** Returns the meters of the route [name]. */
    fun route(name: String): RouteMetrics = routes.computeIfAbsent(name, ::newRoute)

    /** Removes the meters of routes that are not in [names], so that removed routes take no memory. */
    fun retainRoutes(names: Set<String>) {
        routes.keys.retainAll(names)
        if (!lazyRegistry.isInitialized()) return
        registry.meters
            .filter { meter -> meter.id.getTag("route")?.let { it !in names } == true }
            .forEach { registry.remove(it) }
    }

    /** Counts a call refused before it ran. */
    fun countShedCall(reason: ShedReason) = recordings.add { sheds[reason.ordinal].value.increment() }

    /** Records the time that a call waited at the ingress. */
    fun recordQueueTime(
        priority: Priority,
        waitNanos: Long,
    ) = recordings.add { queueTimes[priority.ordinal].value.record(waitNanos, TimeUnit.NANOSECONDS) }

    /** Counts the ejection of a target of [service]. */
    fun countEjection(service: String) = ejections.computeIfAbsent(service) { counter(NodeMeter.EJECTIONS, it) }.increment()

    /** Counts an invalid request that was answered with [status]. */
    fun countInvalidRequest(status: Int) =
        invalidRequests.computeIfAbsent(status) { counter(NodeMeter.INVALID_REQUESTS, it.toString()) }.increment()

    /** Counts a connection that was closed because it made no progress. */
    fun countSilentConnection() = silentConnections.increment()

    /** Counts the answer to a call with a key. */
    fun countKeyedCall(answer: KeyedAnswer) = keyedCalls[answer.ordinal].value.increment()

    /** Counts a folded patch. */
    fun countPatch(result: PatchResult) = patches[result.ordinal].value.increment()

    /** Makes the number of refused records read [source], which only grows. */
    fun bindRefusedRecords(source: () -> Number) {
        refusedRecordsSource = source
    }

    /** Makes the bytes of messages between nodes read [source], which only grows. */
    fun bindControlBytes(
        direction: ControlDirection,
        source: () -> Number,
    ) {
        controlSources[direction] = source
    }

    /** Makes [meter], a gauge without labels, read [source] at each scrape. */
    fun bindGauge(
        meter: NodeMeter,
        source: () -> Number,
    ) {
        require(meter.kind == MeterKind.GAUGE && meter.labels.isEmpty()) { "$meter is not a gauge without labels" }
        gaugeSources[meter] = source
    }

    /** Makes the number of members in [state] read [source] at each scrape. */
    fun bindMembers(
        state: MemberState,
        source: () -> Number,
    ) {
        memberSources[state] = source
    }

    /** Records what was kept, and from now on at once. */
    fun stopDeferring() = recordings.stopDeferring()

    /** Returns all meters in the Prometheus text format, also those that have counted nothing yet. */
    fun scrape(): String {
        stopDeferring()
        (sheds + queueTimes + keyedCalls + patches).forEach { it.value }
        silentConnections
        routes.values.forEach { it.registerAll() }
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
            functionCounter(registry, NodeMeter.CONTROL_BYTES, direction.label()) { controlSources[direction]?.invoke() ?: 0 }
        }
        functionCounter(registry, NodeMeter.REFUSED_RECORDS) { refusedRecordsSource() }
        MemberState.entries.forEach { state -> gauge(registry, NodeMeter.MEMBERS, state.label()) { memberSources[state]?.invoke() ?: 0 } }
    }

    private fun newRoute(name: String): RouteMetrics =
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
            .serviceLevelObjectives(*BUCKETS)
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
        val BUCKETS = longArrayOf(1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 10_000).map(Duration::ofMillis).toTypedArray()
    }
}
