package dev.lycheehill.node.api

/**
 * A request to the local API.
 *
 * @property pathParameter part of the path that matches the `*` of the endpoint; empty if the endpoint has no `*`.
 * @property query decoded query parameters. A repeated parameter has its first value.
 * @property body text of the request body.
 */
class ApiRequest(
    val pathParameter: String = "",
    val query: Map<String, String> = emptyMap(),
    val body: String = "",
)
