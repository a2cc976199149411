package dev.lycheehill.platformlog.http

import java.net.URI

/**
 * Settings of [HttpPlatformLog].
 *
 * @property baseUri address of the log service, without a path.
 * @property connectTimeoutMs time limit for opening a connection.
 * @property requestTimeoutMs time limit for one answer; a read that waits for records gets its wait on top.
 */
data class HttpLogSettings(
    val baseUri: URI,
    val connectTimeoutMs: Long = 1_000,
    val requestTimeoutMs: Long = 2_000,
)
