package dev.lycheehill.node.client

import io.netty.handler.codec.http.HttpHeaders

/** A complete HTTP response. */
class HttpClientResponse(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteArray,
)
