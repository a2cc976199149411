package dev.lycheehill.cli.demo

import dev.lycheehill.core.Verdict
import dev.lycheehill.http.BlockingHttpClient
import dev.lycheehill.http.HttpCall
import dev.lycheehill.http.HttpResult
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Caller of the demo: sends requests through the node of its own instance, as an application would, and retries them.
 *
 * A request with the verdict `not run` is retried after the delay that the response states. If the caller's own node does not
 * respond, the caller uses another node. A read that may have run is retried. A request with an idempotency key that may have run
 * is retried with the same key, so that the nodes do not run it again. While all responses were `not run`, each retry gets a new
 * key, for two reasons: another target may be the home of the new key, that is, the target that runs requests with this key; and
 * a node refuses a key that is older than the last change of homes, whereas the timestamp of the new key is later.
 *
 * @param host value of the header `Host`.
 * @param addresses returns the addresses (`ip:port`) of the nodes' egress listeners, the caller's own node first.
 * @param timeout time after which the caller stops retrying a request.
 * @param newKey creates an idempotency key.
 */
class DemoCaller(
    private val host: String,
    private val addresses: () -> List<String>,
    private val http: BlockingHttpClient,
    private val timeout: Duration = Duration.ofSeconds(12),
    private val newKey: () -> String,
) {
    /** Sends [request] and retries it until it has a final response or the timeout has passed. Blocks. */
    fun send(request: DemoRequest): RequestOutcome {
        val endNanos = System.nanoTime() + timeout.toNanos()
        var nodeIndex = 0
        var outcomeSoFar = RequestOutcome.NOT_RUN
        var key = request.key
        while (System.nanoTime() < endNanos) {
            val nodes = addresses()
            when (val step = attempt(request, key, nodes[nodeIndex % nodes.size], outcomeSoFar)) {
                is Step.Done -> return step.outcome
                is Step.Retry -> {
                    outcomeSoFar = step.outcomeSoFar
                    if (step.useOtherNode) nodeIndex++
                    key = keyForRetry(outcomeSoFar, key)
                    TimeUnit.MILLISECONDS.sleep(step.delayMs)
                }
            }
        }
        return outcomeSoFar
    }

    private fun keyForRetry(
        outcomeSoFar: RequestOutcome,
        key: String?,
    ): String? = if (key != null && outcomeSoFar == RequestOutcome.NOT_RUN) newKey() else key

    private fun attempt(
        request: DemoRequest,
        key: String?,
        node: String,
        outcomeSoFar: RequestOutcome,
    ): Step =
        try {
            evaluate(request, http.send(httpCall(request, key, node)), outcomeSoFar)
        } catch (_: ConnectException) {
            Step.Retry(outcomeSoFar, OTHER_NODE_DELAY_MS, useOtherNode = true)
        } catch (_: IOException) {
            Step.Retry(if (request.isRepeatable) outcomeSoFar else RequestOutcome.MAY_HAVE_RUN, OTHER_NODE_DELAY_MS, useOtherNode = true)
        }

    private fun evaluate(
        request: DemoRequest,
        response: HttpResult,
        outcomeSoFar: RequestOutcome,
    ): Step {
        val verdict = Verdict.fromHeader(response.header("lycheehill-verdict"))
        return when {
            verdict == Verdict.NOT_RUN -> Step.Retry(outcomeSoFar, retryAfterMs(response))
            verdict == Verdict.RAN && response.status == OK -> Step.Done(checkBody(request, response.text))
            // A node responds with 409 and the verdict `ran` when the request with this key has already run.
            verdict == Verdict.RAN && response.status == CONFLICT -> Step.Done(RequestOutcome.SUCCEEDED)
            verdict == Verdict.MAY_HAVE_RUN && request.isRepeatable -> Step.Retry(outcomeSoFar, OTHER_NODE_DELAY_MS)
            verdict == Verdict.MAY_HAVE_RUN -> Step.Retry(RequestOutcome.MAY_HAVE_RUN, MAY_HAVE_RUN_DELAY_MS)
            else -> Step.Done(RequestOutcome.FAILED)
        }
    }

    private fun checkBody(
        request: DemoRequest,
        body: String,
    ): RequestOutcome = if (body.startsWith("${request.id} ")) RequestOutcome.SUCCEEDED else RequestOutcome.WRONG_RESPONSE

    private fun httpCall(
        request: DemoRequest,
        key: String?,
        node: String,
    ): HttpCall {
        val uri = URI.create("http://$node${request.path}")
        val headers = mapOf("host" to host, "x-request-key" to request.id)
        if (key == null) return HttpCall("GET", uri, headers, timeoutMs = RESPONSE_TIMEOUT_MS)
        return HttpCall("POST", uri, headers + ("idempotency-key" to key), "order ${request.id}".encodeToByteArray(), RESPONSE_TIMEOUT_MS)
    }

    private fun retryAfterMs(response: HttpResult): Long =
        (response.header("lycheehill-retry-after-ms")?.toLongOrNull() ?: DEFAULT_RETRY_AFTER_MS).coerceIn(1, MAX_RETRY_AFTER_MS)

    private sealed interface Step {
        data class Done(
            val outcome: RequestOutcome,
        ) : Step

        data class Retry(
            val outcomeSoFar: RequestOutcome,
            val delayMs: Long,
            val useOtherNode: Boolean = false,
        ) : Step
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val DEFAULT_RETRY_AFTER_MS = 100L
        const val MAX_RETRY_AFTER_MS = 1_000L
        const val OTHER_NODE_DELAY_MS = 20L
        const val MAY_HAVE_RUN_DELAY_MS = 300L
        const val RESPONSE_TIMEOUT_MS = 5_000L
    }
}
