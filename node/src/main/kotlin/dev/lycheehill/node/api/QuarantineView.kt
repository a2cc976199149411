package dev.lycheehill.node.api

/**
 * One entry of the response of `GET /v1/quarantine`.
 *
 * @property fingerprint fingerprint of the quarantined request.
 * @property nodeIds nodes whose backend servers crashed while they ran the request.
 * @property leftMs remaining duration of the quarantine in milliseconds.
 */
data class QuarantineView(
    val fingerprint: String,
    val nodeIds: List<String>,
    val leftMs: Long,
)
