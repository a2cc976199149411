package dev.lycheehill.node.api

import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder

/** Handles HTTP requests to the local API: finds the endpoint of a request and sends its response. */
internal class ApiHandler(
    private val endpoints: List<ApiEndpoint>,
) : CallHandler {
    override fun handle(call: InboundCall) {
        val response = respond(call)
        val headers = HeaderRules.newHeaders().set(HttpHeaderNames.CONTENT_TYPE, response.contentType)
        val body = ByteBufUtil.writeUtf8(ByteBufAllocator.DEFAULT, response.text)
        call.respond(HttpResponseStatus.valueOf(response.status), headers, body)
    }

    private fun respond(call: InboundCall): ApiResponse {
        val uri = decodeUri(call.uri) ?: return ApiResponse.error(400, "the request target is not valid")
        val pathMatches = endpoints.filter { it.matches(uri.path()) }
        val endpoint = pathMatches.firstOrNull { it.method == call.method }
        return when {
            endpoint != null -> endpoint.serve(toApiRequest(call, uri, endpoint))
            pathMatches.isNotEmpty() -> ApiResponse.error(405, "${call.method} is not served here; use ${pathMatches.map { it.method }}")
            else -> ApiResponse.error(404, "no such path: ${uri.path()}")
        }
    }

    private fun toApiRequest(
        call: InboundCall,
        uri: QueryStringDecoder,
        endpoint: ApiEndpoint,
    ) = ApiRequest(
        pathParameter = endpoint.pathParameterOf(uri.path()),
        query = uri.parameters().mapValues { it.value.first() },
        body = call.body.toString(Charsets.UTF_8),
    )

    private fun decodeUri(uri: String): QueryStringDecoder? =
        try {
            QueryStringDecoder(uri).also {
                it.path()
                it.parameters()
            }
        } catch (_: IllegalArgumentException) {
            null
        }
}
