package dev.lycheehill.node.ingress

import dev.lycheehill.calls.keys.KeyDecision
import dev.lycheehill.calls.keys.KeyToken
import dev.lycheehill.core.Verdict
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.keys.KeyedRequestCoordinator
import dev.lycheehill.node.keys.StoredResponse
import dev.lycheehill.node.relay.CollectedResponse
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** The idempotency key of one call at its target's node. Used on one event loop. */
internal class KeyedExecution private constructor(
    private val gate: KeyedRequestCoordinator,
    private val domain: String,
    private val key: String,
) {
    private var token: KeyToken? = null

    /** Asks whether the call may run. */
    fun begin(): KeyDecision = gate.begin(domain, key).also { if (it is KeyDecision.Execute) token = it.token }

    /** Records the end of a call that [begin] allowed to run; does nothing otherwise. */
    fun finish(
        verdict: Verdict,
        response: CollectedResponse?,
    ) {
        val begun = token ?: return
        token = null
        gate.finish(begun, verdict, response?.let(::stored))
    }

    private fun stored(response: CollectedResponse) =
        StoredResponse(
            status = response.status.code(),
            contentType = response.headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty(),
            body = ByteBufUtil.getBytes(response.body),
        )

    companion object {
        /** Returns null when the call carries no key that the caller's node has given a domain, or keys are not checked. */
        fun of(
            gate: KeyedRequestCoordinator?,
            headers: HttpHeaders,
        ): KeyedExecution? {
            val domain = headers.get(CallHeaders.KEY_DOMAIN)
            val key = headers.get(CallHeaders.IDEMPOTENCY_KEY)
            return if (gate == null || domain == null || key == null) null else KeyedExecution(gate, domain, key)
        }
    }
}
