package dev.lycheehill.node.api

/** One entry of `GET /v1/quarantine`; [nodeIds] are the nodes whose backend servers died. */
data class QuarantineView(
    val fingerprint: String,
    val nodeIds: List<String>,
    val leftMs: Long,
)
