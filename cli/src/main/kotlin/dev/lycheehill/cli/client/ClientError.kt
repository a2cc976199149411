package dev.lycheehill.cli.client

/**
 * Failure of a request to a node.
 *
 * @property status HTTP status; null when there was no response.
 */
data class ClientError(
    val message: String,
    val status: Int? = null,
)
