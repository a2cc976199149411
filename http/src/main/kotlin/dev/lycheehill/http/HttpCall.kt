package dev.lycheehill.http

import java.net.URI

/**
 * Request of a [BlockingHttpClient].
 *
 * @property uri URI with the scheme `http`, a host and a port.
 * @property headers headers by name. `Host`, `Content-Length` and `Connection` are set by the client; a value for `Host` takes precedence.
 * @property body body; null for a request without a body.
 * @property timeoutMs time until the response is complete, in milliseconds.
 */
class HttpCall(
    val method: String,
    val uri: URI,
    val headers: Map<String, String> = emptyMap(),
    val body: ByteArray? = null,
    val timeoutMs: Long,
)
