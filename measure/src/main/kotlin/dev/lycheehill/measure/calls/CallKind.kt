package dev.lycheehill.measure.calls

/**
 * Kind of calls that a load generator sends.
 *
 * @property name key of the kind in the results.
 * @property path path of the request, which also selects the route.
 * @property headers additional request headers.
 */
data class CallKind(
    val name: String,
    val path: String,
    val method: String = "GET",
    val headers: Map<String, String> = emptyMap(),
)
