package dev.lycheehill.platformlog.http

import java.net.URI

/**
 * Settings of [HttpPlatformLog].
 *
 * @property baseUri URI of the log service, without a path.
 * @property connectTimeoutMs timeout for opening a connection, in milliseconds.
 * @property requestTimeoutMs timeout for a response, in milliseconds; for a read, the time that the read waits for
 *   records is added.
 */
data class HttpLogSettings(
    val baseUri: URI,
    val connectTimeoutMs: Long = 1_000,
    val requestTimeoutMs: Long = 2_000,
)
