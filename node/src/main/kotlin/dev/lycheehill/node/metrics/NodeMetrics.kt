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
 * Each meter is resolved once: those with a fixed set of labels here, those of a route in [route]. Recording takes no
 * lock and allocates nothing. Gauges read 0 until [bindGauge] gives them a source.
 */
class NodeMetrics(
    private val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
) : AutoCloseable {
    private val gaugeSources = ConcurrentHashMap<NodeMeter, () -> Number>()
    private val memberSources = ConcurrentHashMap<MemberState, () -> Number>()
    private val routes = ConcurrentHashMap<String, RouteMetrics>()
    private val ejections = ConcurrentHashMap<String, Counter>()
    private val invalidRequests = ConcurrentHashMap<Int, Counter>()

    private val sheds = ShedReason.entries.map { counter(NodeMeter.SHEDS, it.label()) }
    private val queueTimes = Priority.entries.map { timer(NodeMeter.QUEUE_TIME, it.label()) }
    private val keyedCalls = KeyedAnswer.entries.map { counter(NodeMeter.KEYED_CALLS, it.label()) }
    private val patches = PatchResult.entries.map { counter(NodeMeter.PATCHES, it.label()) }
    private val controlSources = ConcurrentHashMap<ControlDirection, () -> Number>()
    private val silentConnections = counter(NodeMeter.SILENT_CONNECTIONS)

    @Volatile
    private var refusedRecordsSource: () -> Number = { 0 }

    init {
        NodeMeter.entries
            .filter { it.kind == MeterKind.GAUGE && it.labels.isEmpty() }
            .forEach { meter -> gauge(meter) { gaugeSources[meter]?.invoke() ?: 0 } }
        ControlDirection.entries.forEach { direction ->
            functionCounter(NodeMeter.CONTROL_BYTES, direction.label()) { controlSources[direction]?.invoke() ?: 0 }
        }
        functionCounter(NodeMeter.REFUSED_RECORDS) { refusedRecordsSource() }
        MemberState.entries.forEach { state -> gauge(NodeMeter.MEMBERS, state.label()) { memberSources[state]?.invoke() ?: 0 } }
    }

    /** Returns the meters of the route [name]. */
    fun route(name: String): RouteMetrics = routes.computeIfAbsent(name, ::newRoute)

    /** Removes the meters of routes that are not in [names], so that removed routes take no memory. */
    fun retainRoutes(names: Set<String>) {
        val gone = routes.keys - names
        gone.forEach(routes::remove)
        registry.meters
            .filter { it.id.getTag("route") in gone }
            .forEach { registry.remove(it) }
    }

    /** Counts a call refused before it ran. */
    fun shed(reason: ShedReason) = sheds[reason.ordinal].increment()

    /** Records the time that a call waited at the ingress. */
    fun queued(
        priority: Priority,
        waitNanos: Long,
    ) = queueTimes[priority.ordinal].record(waitNanos, TimeUnit.NANOSECONDS)

    /** Counts the ejection of a target of [service]. */
    fun ejected(service: String) = ejections.computeIfAbsent(service) { counter(NodeMeter.EJECTIONS, it) }.increment()

    /** Counts an invalid request that was answered with [status]. */
    fun invalidRequest(status: Int) =
        invalidRequests.computeIfAbsent(status) { counter(NodeMeter.INVALID_REQUESTS, it.toString()) }.increment()

    /** Counts a connection that was closed because it made no progress. */
    fun silentConnection() = silentConnections.increment()

    /** Counts the answer to a call with a key. */
    fun keyedCall(answer: KeyedAnswer) = keyedCalls[answer.ordinal].increment()

    /** Counts a folded patch. */
    fun patchFolded(result: PatchResult) = patches[result.ordinal].increment()

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

    /** Returns all meters in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    override fun close() = registry.close()

    private fun newRoute(name: String): RouteMetrics =
        RouteMetrics(
            calls = Verdict.entries.map { timer(NodeMeter.CALLS, name, it.headerValue) },
            retries = counter(NodeMeter.RETRIES, name),
            retriesDenied = counter(NodeMeter.RETRIES_DENIED, name),
            hedges = counter(NodeMeter.HEDGES, name),
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
