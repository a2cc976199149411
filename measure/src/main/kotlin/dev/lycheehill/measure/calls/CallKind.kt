package dev.lycheehill.measure.calls

/**
 * Kind of the calls of a load.
 *
 * @property path path of the request, which also selects the route.
 * @property headers further request headers.
 */
data class CallKind(
    val name: String,
    val path: String,
    val method: String = "GET",
    val headers: Map<String, String> = emptyMap(),
)
