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

/** Execution of one call with an idempotency key at the target's node. Not thread-safe. */
internal class KeyedExecution private constructor(
    private val coordinator: KeyedRequestCoordinator,
    private val domain: String,
    private val key: String,
) {
    private var token: KeyToken? = null

    /** Returns whether the call is to be executed, answered with a stored response, or refused. */
    fun begin(): KeyDecision = coordinator.begin(domain, key).also { if (it is KeyDecision.Execute) token = it.token }

    /** Records the end of the execution. Does nothing if [begin] did not permit the execution. */
    fun finish(
        verdict: Verdict,
        response: CollectedResponse?,
    ) {
        val startedToken = token ?: return
        token = null
        coordinator.finish(startedToken, verdict, response?.let(::toStoredResponse))
    }

    private fun toStoredResponse(response: CollectedResponse) =
        StoredResponse(
            status = response.status.code(),
            contentType = response.headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty(),
            body = ByteBufUtil.getBytes(response.body),
        )

    companion object {
        /** Returns the keyed execution of a call, or null if keys are not checked or the call lacks a key or a key domain. */
        fun of(
            coordinator: KeyedRequestCoordinator?,
            headers: HttpHeaders,
        ): KeyedExecution? {
            val domain = headers.get(CallHeaders.KEY_DOMAIN)
            val key = headers.get(CallHeaders.IDEMPOTENCY_KEY)
            return if (coordinator == null || domain == null || key == null) null else KeyedExecution(coordinator, domain, key)
        }
    }
}
