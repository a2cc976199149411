package dev.lycheehill.node.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** Copies the end-to-end headers of a message. Headers of one connection and those of lycheehill are left out. */
internal object HeaderRules {
    // The decoder has checked names and values already.
    private val factory = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

    private val hopByHop =
        setOf(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
        )

    fun newHeaders(): HttpHeaders = factory.newHeaders()

    fun copyEndToEnd(source: HttpHeaders): HttpHeaders {
        val result = newHeaders()
        val named = connectionOptions(source)
        val entries = source.iteratorCharSequence()
        while (entries.hasNext()) {
            val entry = entries.next()
            val name = entry.key.toString().lowercase()
            if (name in hopByHop || name in named || isOwn(name)) continue
            result.add(entry.key, entry.value)
        }
        return result
    }

    /** Sets the length of the body of [call], which was received whole. */
    fun setContentLength(
        headers: HttpHeaders,
        call: InboundCall,
    ) {
        val sizeBytes = call.body.readableBytes()
        val hadBody = sizeBytes > 0 || call.headers.contains(HttpHeaderNames.CONTENT_LENGTH) || call.method in methodsWithBody
        if (hadBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, sizeBytes.toString()) else headers.remove(HttpHeaderNames.CONTENT_LENGTH)
    }

    private fun isOwn(name: String) = name.startsWith(CallHeaders.PREFIX) || name.startsWith(CallHeaders.NODE_PREFIX)

    private fun connectionOptions(source: HttpHeaders): Set<String> {
        if (!source.contains(HttpHeaderNames.CONNECTION)) return emptySet()
        return source
            .getAll(HttpHeaderNames.CONNECTION)
            .flatMap { it.split(',') }
            .mapTo(HashSet()) { it.trim().lowercase() }
            // A caller must not be able to remove the framing or the host of its request.
            .apply { removeAll(protectedNames) }
    }

    private val methodsWithBody = setOf(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH)

    private val protectedNames = setOf("content-length", "host", "idempotency-key")
}
