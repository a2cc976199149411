package dev.lycheehill.node.api

import io.netty.handler.codec.http.HttpMethod

/**
 * One operation of the local API. The operation runs on the event loop of the API and must not block.
 *
 * @property method HTTP method of the operation.
 * @property path path of the operation. A final `*` is a path parameter, which [ApiRequest.pathParameter] holds.
 */
class ApiEndpoint(
    val method: HttpMethod,
    val path: String,
    private val handler: (ApiRequest) -> ApiResponse,
) {
    private val prefix = path.removeSuffix("*")

    /** Returns whether this endpoint serves [requestPath]. */
    fun matches(requestPath: String): Boolean =
        if (path == prefix) path == requestPath else requestPath.startsWith(prefix) && requestPath.length > prefix.length

    /** Serves [request] and returns the response. */
    fun serve(request: ApiRequest): ApiResponse = handler.invoke(request)

    /** Returns the path parameter in [requestPath], or the empty string if [path] has none. */
    fun pathParameterOf(requestPath: String): String = requestPath.removePrefix(prefix)
}
