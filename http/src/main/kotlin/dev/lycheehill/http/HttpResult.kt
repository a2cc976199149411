package dev.lycheehill.http

import io.netty.handler.codec.http.HttpHeaders

/** Complete response to an [HttpCall]. */
class HttpResult(
    val status: Int,
    private val headers: HttpHeaders,
    val body: ByteArray,
) {
    /** Returns the body, decoded as UTF-8. */
    val text: String get() = body.decodeToString()

    /** Returns the first value of the header [name], in any case; null if there is none. */
    fun header(name: String): String? = headers.get(name)
}
