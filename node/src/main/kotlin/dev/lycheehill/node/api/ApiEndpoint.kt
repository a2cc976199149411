package dev.lycheehill.node.api

import io.netty.handler.codec.http.HttpMethod

/**
 * One operation of the local API. Runs on the thread of the API and must return soon.
 *
 * @property path path of the operation; a last segment `*` stands for one segment, given as [ApiRequest.pathParameter].
 */
class ApiEndpoint(
    val method: HttpMethod,
    val path: String,
    private val serve: (ApiRequest) -> ApiResponse,
) {
    private val prefix = path.removeSuffix("*")

    /** Whether this endpoint serves [requestPath]. */
    fun matches(requestPath: String): Boolean =
        if (path == prefix) path == requestPath else requestPath.startsWith(prefix) && requestPath.length > prefix.length

    /** Serves [request]. */
    fun serve(request: ApiRequest): ApiResponse = serve.invoke(request)

    /** Returns the part of [requestPath] that the `*` stands for, or the empty string. */
    fun pathParameterOf(requestPath: String): String = requestPath.removePrefix(prefix)
}
