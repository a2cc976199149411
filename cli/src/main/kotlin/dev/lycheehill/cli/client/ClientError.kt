package dev.lycheehill.cli.client

/**
 * Error of a request to the local API of a node.
 *
 * @property message message for the operator.
 * @property status HTTP status of the response; null if there was no response.
 */
data class ClientError(
    val message: String,
    val status: Int? = null,
)
