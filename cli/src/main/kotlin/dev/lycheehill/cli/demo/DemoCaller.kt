package dev.lycheehill.cli.demo

import dev.lycheehill.core.Verdict
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Sends requests through its own node, as an application beside that node would.
 *
 * A `not run` answer is sent again after its hint. When the own node is gone, the caller uses another one. A request
 * with a key is sent again with the same key once it may have run. As long as all answers were `not run`, it gets a new
 * key, whose home may be another target and whose time is later than a change of homes.
 *
 * @param addresses returns the `ip:port` of the nodes' egress listeners, the own node first.
 */
class DemoCaller(
    private val host: String,
    private val addresses: () -> List<String>,
    private val http: HttpClient,
    private val patience: Duration = Duration.ofSeconds(12),
    private val newKey: () -> String,
) {
    /** Sends [request] until it has a final answer or the caller's time is up. Blocks. */
    fun send(request: DemoRequest): RequestOutcome {
        val endNanos = System.nanoTime() + patience.toNanos()
        var nodeIndex = 0
        var last = RequestOutcome.NOT_RUN
        var key = request.key
        while (System.nanoTime() < endNanos) {
            val nodes = addresses()
            when (val step = attempt(request, key, nodes[nodeIndex % nodes.size], last)) {
                is Step.Done -> return step.outcome
                is Step.Again -> {
                    last = step.outcomeSoFar
                    if (step.onOtherNode) nodeIndex++
                    key = keyAfter(last, key)
                    TimeUnit.MILLISECONDS.sleep(step.afterMs)
                }
            }
        }
        return last
    }

    private fun keyAfter(
        outcomeSoFar: RequestOutcome,
        key: String?,
    ): String? = if (key != null && outcomeSoFar == RequestOutcome.NOT_RUN) newKey() else key

    private fun attempt(
        request: DemoRequest,
        key: String?,
        node: String,
        soFar: RequestOutcome,
    ): Step =
        try {
            judge(request, http.send(message(request, key, node), HttpResponse.BodyHandlers.ofString()), soFar)
        } catch (_: ConnectException) {
            Step.Again(soFar, OTHER_NODE_DELAY_MS, onOtherNode = true)
        } catch (_: IOException) {
            Step.Again(if (request.repeatable) soFar else RequestOutcome.MAY_HAVE_RUN, OTHER_NODE_DELAY_MS, onOtherNode = true)
        }

    private fun judge(
        request: DemoRequest,
        response: HttpResponse<String>,
        soFar: RequestOutcome,
    ): Step {
        val verdict = Verdict.fromHeader(response.headers().firstValue("lycheehill-verdict").orElse(null))
        return when {
            verdict == Verdict.NOT_RUN -> Step.Again(soFar, hintMs(response))
            verdict == Verdict.RAN && response.statusCode() == OK -> Step.Done(checkBody(request, response.body()))
            verdict == Verdict.RAN && response.statusCode() == CONFLICT -> Step.Done(RequestOutcome.SUCCEEDED)
            verdict == Verdict.MAY_HAVE_RUN && request.repeatable -> Step.Again(soFar, OTHER_NODE_DELAY_MS)
            verdict == Verdict.MAY_HAVE_RUN -> Step.Again(RequestOutcome.MAY_HAVE_RUN, UNKNOWN_DELAY_MS)
            else -> Step.Done(RequestOutcome.FAILED)
        }
    }

    private fun checkBody(
        request: DemoRequest,
        body: String,
    ): RequestOutcome = if (body.startsWith("${request.id} ")) RequestOutcome.SUCCEEDED else RequestOutcome.WRONG_RESPONSE

    private fun message(
        request: DemoRequest,
        key: String?,
        node: String,
    ): HttpRequest {
        val builder =
            HttpRequest
                .newBuilder(URI.create("http://$node${request.path}"))
                .timeout(RESPONSE_TIMEOUT)
                .header("host", host)
                .header("x-request-key", request.id)
        key?.let { builder.header("idempotency-key", it).POST(HttpRequest.BodyPublishers.ofString("order ${request.id}")) }
        return builder.build()
    }

    private fun hintMs(response: HttpResponse<String>): Long =
        response
            .headers()
            .firstValueAsLong("lycheehill-retry-after-ms")
            .orElse(DEFAULT_HINT_MS)
            .coerceIn(1, MAX_HINT_MS)

    private sealed interface Step {
        data class Done(
            val outcome: RequestOutcome,
        ) : Step

        data class Again(
            val outcomeSoFar: RequestOutcome,
            val afterMs: Long,
            val onOtherNode: Boolean = false,
        ) : Step
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val DEFAULT_HINT_MS = 100L
        const val MAX_HINT_MS = 1_000L
        const val OTHER_NODE_DELAY_MS = 20L
        const val UNKNOWN_DELAY_MS = 300L
        val RESPONSE_TIMEOUT: Duration = Duration.ofSeconds(5)
    }
}
