package dev.lycheehill.node.stop

import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.node.dialect.CallDialect
import dev.lycheehill.node.http.CallStage
import dev.lycheehill.node.http.ConnectionObserver
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.metrics.CallSource
import dev.lycheehill.node.metrics.CloseCause
import dev.lycheehill.node.metrics.NodeMetrics
import io.netty.handler.codec.http.HttpHeaders

/**
 * Counts the calls of [source] that end without a complete response. During a stop, also logs each of them.
 *
 * Outside a stop, no lines are written, because callers that close their connections are common.
 */
internal class UnansweredCallReporter(
    private val source: CallSource,
    private val dialect: CallDialect,
    private val metrics: NodeMetrics,
    private val log: DecisionLog,
    private val isStopping: () -> Boolean,
) : ConnectionObserver {
    override fun onConnectionClosed(cause: CloseCause) = metrics.countClosedConnection(source, cause)

    override fun onUnanswered(
        call: InboundCall,
        stage: CallStage,
        cause: CloseCause,
        error: Throwable?,
    ) {
        if (stage != CallStage.UNCONFIRMED) metrics.countUnansweredCall(source, cause)
        if (!isStopping()) return
        val progress = call.listener?.progress()
        write(
            call.headers,
            stage,
            cause,
            "targets" to progress?.targetIds?.joinToString(" "),
            "age_ms" to (System.nanoTime() - call.receivedNanos) / NANOS_PER_MILLI,
            "left_ms" to progress?.leftMs,
            "stated_deadline_ms" to dialect.deadlineMs(call.headers),
            "error" to error?.toString(),
        )
    }

    override fun onRequestReleased(
        headers: HttpHeaders,
        stage: CallStage,
        cause: CloseCause,
    ) {
        if (isStopping()) write(headers, stage, cause, "stated_deadline_ms" to dialect.deadlineMs(headers))
    }

    private fun write(
        headers: HttpHeaders,
        stage: CallStage,
        cause: CloseCause,
        vararg fields: Pair<String, Any?>,
    ) = log.write(
        "unanswered-call",
        "request" to dialect.requestId(headers),
        "source" to source.label,
        "cause" to cause.label,
        "stage" to stage.label,
        *fields,
    )

    companion object {
        /** Maximum number of lines about unanswered calls in a second, and so of calls that are listed at the end of a stop. */
        const val MAX_LISTED_CALLS = 200
    }
}
