package dev.lycheehill.cli.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.output.Json
import dev.lycheehill.http.BlockingHttpClient
import dev.lycheehill.http.HttpCall
import dev.lycheehill.http.HttpResult
import dev.lycheehill.node.settings.HostPort
import java.io.IOException
import java.net.URI
import java.net.URLEncoder
import java.time.Duration

/**
 * Client of the local API of a node.
 *
 * @property address address of the local API.
 * @param timeout timeout of a connect and of a request.
 */
class NodeClient(
    val address: HostPort,
    private val timeout: Duration = Duration.ofSeconds(5),
) {
    private val http = BlockingHttpClient(timeout.toMillis())

    /** Sends a `GET` request to [path]. */
    fun get(
        path: String,
        query: Map<String, String> = emptyMap(),
    ): Either<ClientError, JsonNode> = send("GET", path, query)

    /** Sends a `DELETE` request to [path]. */
    fun delete(
        path: String,
        query: Map<String, String> = emptyMap(),
    ): Either<ClientError, JsonNode> = send("DELETE", path, query)

    /** Sends a `POST` request without a body to [path]. */
    fun post(path: String): Either<ClientError, JsonNode> = send("POST", path, emptyMap())

    /** Sends a `PUT` request with [body] to [path]. */
    fun put(
        path: String,
        body: JsonNode,
    ): Either<ClientError, JsonNode> = send("PUT", path, emptyMap(), body)

    private fun send(
        method: String,
        path: String,
        query: Map<String, String>,
        body: JsonNode? = null,
    ): Either<ClientError, JsonNode> {
        val uri = URI.create("http://$address$path${encodeQuery(query)}")
        val call = HttpCall(method, uri, body = body?.toString()?.encodeToByteArray(), timeoutMs = timeout.toMillis())
        return try {
            toResult(http.send(call))
        } catch (e: IOException) {
            ClientError("node $address does not respond: ${e.message ?: e.javaClass.simpleName}").left()
        }
    }

    private fun toResult(response: HttpResult): Either<ClientError, JsonNode> {
        val document = parseBody(response.text)
        if (response.status < MIN_ERROR_STATUS) return document.right()
        val text = document.path("message").textValue() ?: document.path("error").textValue() ?: response.text.trim()
        return ClientError("node $address responded with status ${response.status}: $text", response.status).left()
    }

    // Some responses are plain text, such as the response of a health check.
    private fun parseBody(body: String): JsonNode =
        try {
            Json.mapper.readTree(body.ifBlank { "{}" })
        } catch (_: JsonProcessingException) {
            Json.mapper.nodeFactory.textNode(body.trim())
        }

    private fun encodeQuery(query: Map<String, String>): String =
        query.entries
            .joinToString("&") { (name, value) -> "$name=${URLEncoder.encode(value, Charsets.UTF_8)}" }
            .let { if (it.isEmpty()) "" else "?$it" }

    private companion object {
        const val MIN_ERROR_STATUS = 400
    }
}
