package dev.lycheehill.node.dialect

/**
 * What a backend server states about itself in a response.
 *
 * @property maxRequestsPerSecond largest rate of requests that it accepts from all nodes together, finite and at least 0; null if it
 *   states no limit.
 * @property isLeaving whether it is shutting down and must get no new requests.
 */
data class BackendStatement(
    val maxRequestsPerSecond: Double? = null,
    val isLeaving: Boolean = false,
)
