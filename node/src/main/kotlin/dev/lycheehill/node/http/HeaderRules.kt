package dev.lycheehill.node.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** Rules for the headers of forwarded messages: which headers are copied, and how the body length is set. */
internal object HeaderRules {
    // Validation is off because the decoder has already validated names and values.
    private val factory = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

    private val hopByHopNames =
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

    /** Returns a copy of the end-to-end headers of [source]. Omits hop-by-hop headers and the headers of lycheehill. */
    fun copyEndToEnd(source: HttpHeaders): HttpHeaders {
        val result = newHeaders()
        val connectionSpecific = connectionOptions(source)
        val entries = source.iteratorCharSequence()
        while (entries.hasNext()) {
            val entry = entries.next()
            val name = entry.key.toString().lowercase()
            if (name in hopByHopNames || name in connectionSpecific || isLycheehillHeader(name)) continue
            result.add(entry.key, entry.value)
        }
        return result
    }

    /** Sets the `Content-Length` header to the size of the body of [call]; removes the header if the request has no body. */
    fun setContentLength(
        headers: HttpHeaders,
        call: InboundCall,
    ) {
        val sizeBytes = call.body.readableBytes()
        val hadBody = sizeBytes > 0 || call.headers.contains(HttpHeaderNames.CONTENT_LENGTH) || call.method in methodsWithBody
        if (hadBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, sizeBytes.toString()) else headers.remove(HttpHeaderNames.CONTENT_LENGTH)
    }

    private fun isLycheehillHeader(name: String) = name.startsWith(CallHeaders.PREFIX) || name.startsWith(CallHeaders.NODE_PREFIX)

    private fun connectionOptions(source: HttpHeaders): Set<String> {
        if (!source.contains(HttpHeaderNames.CONNECTION)) return emptySet()
        return source
            .getAll(HttpHeaderNames.CONNECTION)
            .flatMap { it.split(',') }
            .mapTo(HashSet()) { it.trim().lowercase() }
            // A Connection header that names these headers must not remove the framing, the host or the key of the request.
            .apply { removeAll(protectedNames) }
    }

    private val methodsWithBody = setOf(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH)

    private val protectedNames = setOf("content-length", "host", "idempotency-key")
}
