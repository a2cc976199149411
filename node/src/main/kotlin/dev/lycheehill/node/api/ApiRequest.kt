package dev.lycheehill.node.api

/**
 * A request to the local API.
 *
 * @property pathParameter path segment for which the endpoint has `*`.
 * @property query decoded query parameters; of a repeated one the first value.
 * @property body text of the request body.
 */
class ApiRequest(
    val pathParameter: String = "",
    val query: Map<String, String> = emptyMap(),
    val body: String = "",
)
