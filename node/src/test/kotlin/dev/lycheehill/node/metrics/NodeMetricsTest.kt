package dev.lycheehill.node.metrics

import dev.lycheehill.core.Verdict
import dev.lycheehill.fleet.membership.MemberState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** Guards against a documentation page that differs from the meters, and against meters that outlive their routes. */
class NodeMetricsTest {
    private val metrics = NodeMetrics()

    @Test
    fun `the documentation page lists each meter with its unit, labels and meaning`() {
        val rows = Files.readAllLines(Path.of("../docs/metrics.md")).filter { it.startsWith("| `lycheehill_") }

        expectThat(rows).isEqualTo(
            NodeMeter.entries.map { meter ->
                val labels = meter.labels.joinToString(", ").ifEmpty { "-" }
                "| `${meter.prometheusName}` | ${meter.kind.name.lowercase()} | ${meter.unit} | $labels | ${meter.meaning} |"
            },
        )
    }

    @Test
    fun `a scrape shows each meter under its documented name`() {
        metrics.route("orders").recordCall(Verdict.RAN, durationNanos = 1_000_000)
        metrics.countEjection("orders")
        metrics.countInvalidRequest(status = 431)

        val families =
            metrics
                .scrape()
                .lines()
                .filter { it.startsWith("# TYPE ") }
                .map { it.split(' ')[2] }

        // Micrometer adds a gauge with the suffix _max for each timer.
        expectThat(families.filterNot { it.endsWith("_max") }.toSortedSet())
            .isEqualTo(NodeMeter.entries.map { it.prometheusName }.toSortedSet())
    }

    @Test
    fun `calls are counted by route and verdict`() {
        metrics.route("orders").recordCall(Verdict.NOT_RUN, durationNanos = 2_000_000)

        expectThat(metrics.scrape()).contains("lycheehill_calls_seconds_count{route=\"orders\",verdict=\"not-run\"} 1\n")
    }

    @Test
    fun `unanswered calls and closed connections are counted by source and cause`() {
        metrics.countUnansweredCall(CallSource.CALLERS, CloseCause.NODE_END)
        repeat(2) { metrics.countClosedConnection(CallSource.NODES, CloseCause.STOP) }

        expectThat(metrics.unansweredCalls) isEqualTo 1
        expectThat(metrics.scrape()) {
            contains("lycheehill_unanswered_calls_total{cause=\"node_end\",source=\"callers\"} 1.0\n")
            contains("lycheehill_closed_connections_total{cause=\"stop\",source=\"nodes\"} 2.0\n")
        }
    }

    @Test
    fun `retainRoutes removes the meters of other routes`() {
        metrics.route("old")
        metrics.route("orders")

        metrics.retainRoutes(setOf("orders"))

        expectThat(metrics.scrape()) {
            contains("route=\"orders\"")
            not().contains("route=\"old\"")
        }
    }

    @Test
    fun `each scrape reads the sources of the gauges`() {
        var version = 1L
        metrics.bindGauge(NodeMeter.CONFIG_VERSION) { version }
        metrics.bindMembers(MemberState.READY) { 13 }
        version = 7

        expectThat(metrics.scrape()) {
            contains("lycheehill_config_version 7.0\n")
            contains("lycheehill_members{state=\"ready\"} 13.0\n")
        }
    }
}
