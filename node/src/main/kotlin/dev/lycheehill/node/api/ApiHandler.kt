package dev.lycheehill.node.api

import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder

/** Serves the endpoints of the local API. */
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
        val uri = decode(call.uri) ?: return ApiResponse.error(400, "the request target is not valid")
        val onPath = endpoints.filter { it.matches(uri.path()) }
        val endpoint = onPath.firstOrNull { it.method == call.method }
        return when {
            endpoint != null -> endpoint.serve(requestOf(call, uri, endpoint))
            onPath.isNotEmpty() -> ApiResponse.error(405, "${call.method} is not served here; use ${onPath.map { it.method }}")
            else -> ApiResponse.error(404, "no such path: ${uri.path()}")
        }
    }

    private fun requestOf(
        call: InboundCall,
        uri: QueryStringDecoder,
        endpoint: ApiEndpoint,
    ) = ApiRequest(
        pathParameter = endpoint.pathParameterOf(uri.path()),
        query = uri.parameters().mapValues { it.value.first() },
        body = call.body.toString(Charsets.UTF_8),
    )

    private fun decode(uri: String): QueryStringDecoder? =
        try {
            QueryStringDecoder(uri).also {
                it.path()
                it.parameters()
            }
        } catch (_: IllegalArgumentException) {
            null
        }
}
