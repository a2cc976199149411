package dev.lycheehill.node.metrics

import dev.lycheehill.node.metrics.MeterKind.COUNTER
import dev.lycheehill.node.metrics.MeterKind.GAUGE
import dev.lycheehill.node.metrics.MeterKind.TIMER

/**
 * The meters of a node. `docs/metrics.md` lists the same meters, and a test compares the page with this enum.
 *
 * @property meterName name in Micrometer. The name in Prometheus has `_` in place of `.`, and the suffix of [kind].
 * @property unit unit of the value.
 * @property labels names of the labels, in the order in which [NodeMetrics] passes their values.
 * @property meaning description of the meter for operators.
 */
enum class NodeMeter(
    val meterName: String,
    val kind: MeterKind,
    val unit: String,
    val labels: List<String>,
    val meaning: String,
) {
    CALLS("lycheehill.calls", TIMER, "seconds", listOf("route", "verdict"), "duration of a call at the egress, by route and verdict"),
    RETRIES("lycheehill.retries", COUNTER, "attempts", listOf("route"), "attempts after the first one of a call"),
    RETRIES_DENIED("lycheehill.retries.denied", COUNTER, "attempts", listOf("route"), "attempts that the retry budget did not allow"),
    HEDGES("lycheehill.hedges", COUNTER, "attempts", listOf("route"), "second attempts sent while the first one was still running"),
    SHEDS("lycheehill.sheds", COUNTER, "calls", listOf("reason"), "calls that the ingress refused before they ran"),
    QUEUE_TIME("lycheehill.queue", TIMER, "seconds", listOf("priority"), "time from arrival at the ingress to the start of the call"),
    IN_FLIGHT("lycheehill.in.flight", GAUGE, "calls", emptyList(), "calls that the target is running"),
    BACKEND_REQUESTS("lycheehill.backend.requests", COUNTER, "requests", emptyList(), "requests sent to the backend server of this node"),
    BACKEND_LIMIT("lycheehill.backend.limit", GAUGE, "requests/s", emptyList(), "limit that the backend server states, 0 if none"),
    CONCURRENCY_LIMIT("lycheehill.concurrency.limit", GAUGE, "calls", emptyList(), "calls that the adaptive limit lets the target run"),
    EJECTIONS("lycheehill.ejections", COUNTER, "ejections", listOf("service"), "targets that this node stopped using for a time"),
    EJECTED_TARGETS("lycheehill.ejected.targets", GAUGE, "targets", emptyList(), "targets that this node does not use now"),
    SILENT_CONNECTIONS("lycheehill.silent.connections", COUNTER, "connections", emptyList(), "connections closed without progress"),
    INVALID_REQUESTS("lycheehill.invalid.requests", COUNTER, "requests", listOf("status"), "requests refused as invalid HTTP"),
    UNANSWERED_CALLS(
        "lycheehill.unanswered.calls",
        COUNTER,
        "calls",
        listOf("source", "cause"),
        "calls that ended without a complete response",
    ),
    CLOSED_CONNECTIONS(
        "lycheehill.closed.connections",
        COUNTER,
        "connections",
        listOf("source", "cause"),
        "connections that ended, by cause",
    ),
    STOP_ELAPSED("lycheehill.stop.elapsed", GAUGE, "seconds", emptyList(), "time since the node began to stop, 0 if it is not stopping"),
    KEYS("lycheehill.keys", GAUGE, "keys", emptyList(), "idempotency keys in the table of this node"),
    KEYED_CALLS("lycheehill.keyed.calls", COUNTER, "calls", listOf("answer"), "calls with an idempotency key at their home, by answer"),
    HOME_ACTIVE("lycheehill.home.domains", GAUGE, "domains", emptyList(), "key domains for which this node may execute keyed calls"),
    QUARANTINED("lycheehill.quarantined", GAUGE, "fingerprints", emptyList(), "request fingerprints that are refused"),
    CONFIG_VERSION("lycheehill.config.version", GAUGE, "version", emptyList(), "configuration version in force on this node"),
    PATCHES("lycheehill.patches", COUNTER, "patches", listOf("outcome"), "patches that this node folded, by outcome"),
    REFUSED_RECORDS("lycheehill.refused.records", COUNTER, "records", emptyList(), "records from peers that do not extend the chain"),
    FOLD_STOPPED("lycheehill.fold.stopped", GAUGE, "0 or 1", emptyList(), "1 when the fold stopped at a record of an unknown format"),
    LOG_UP("lycheehill.log.up", GAUGE, "0 or 1", emptyList(), "1 when the last read of the log succeeded or this node is not a reader"),
    LOG_READER("lycheehill.log.reader", GAUGE, "0 or 1", emptyList(), "1 when this node follows the log for its zone"),
    LOG_AGE("lycheehill.log.age", GAUGE, "seconds", emptyList(), "time since the newest confirmation of the log's end"),
    LOG_DIVERGENCE("lycheehill.log.divergence", GAUGE, "0 or 1", emptyList(), "1 when the log contradicts what this node has folded"),
    STORE_EPOCH("lycheehill.store.epoch", GAUGE, "epoch", emptyList(), "epoch of the store, which rises when it is restored from a copy"),
    CONTROL_BYTES("lycheehill.control.bytes", COUNTER, "bytes", listOf("direction"), "bytes of messages between nodes"),
    MEMBERS("lycheehill.members", GAUGE, "members", listOf("state"), "members that this node knows, by state"),
    ;

    /** Name of the meter in the response of `/metrics`. */
    val prometheusName: String get() = meterName.replace('.', '_') + kind.prometheusSuffix
}
