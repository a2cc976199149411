package dev.lycheehill.cli.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.output.Json
import dev.lycheehill.node.settings.HostPort
import java.io.IOException
import java.net.URI
import java.net.URLEncoder
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Client of a node's local API. */
class NodeClient(
    val address: HostPort,
    private val timeout: Duration = Duration.ofSeconds(5),
) {
    private val http = HttpClients.create(timeout)

    /** Reads [path]. */
    fun get(
        path: String,
        query: Map<String, String> = emptyMap(),
    ): Either<ClientError, JsonNode> = send("GET", path, query)

    /** Deletes [path]. */
    fun delete(
        path: String,
        query: Map<String, String> = emptyMap(),
    ): Either<ClientError, JsonNode> = send("DELETE", path, query)

    /** Sends an empty `POST` to [path]. */
    fun post(path: String): Either<ClientError, JsonNode> = send("POST", path, emptyMap())

    /** Puts [body] to [path]. */
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
        val publisher = body?.let { HttpRequest.BodyPublishers.ofString(it.toString()) } ?: HttpRequest.BodyPublishers.noBody()
        val request =
            HttpRequest
                .newBuilder(URI.create("http://$address$path${encoded(query)}"))
                .timeout(timeout)
                .method(method, publisher)
                .build()
        return try {
            answer(http.send(request, HttpResponse.BodyHandlers.ofString()))
        } catch (e: IOException) {
            ClientError("node $address does not answer: ${e.message ?: e.javaClass.simpleName}").left()
        }
    }

    private fun answer(response: HttpResponse<String>): Either<ClientError, JsonNode> {
        val document = parsed(response.body())
        if (response.statusCode() < FIRST_ERROR) return document.right()
        val text = document.path("message").textValue() ?: document.path("error").textValue() ?: response.body().trim()
        return ClientError("node $address answered ${response.statusCode()}: $text", response.statusCode()).left()
    }

    // Some answers are plain text, such as that of a health check.
    private fun parsed(body: String): JsonNode =
        try {
            Json.mapper.readTree(body.ifBlank { "{}" })
        } catch (_: JsonProcessingException) {
            Json.mapper.nodeFactory.textNode(body.trim())
        }

    private fun encoded(query: Map<String, String>): String =
        query.entries
            .joinToString("&") { (name, value) -> "$name=${URLEncoder.encode(value, Charsets.UTF_8)}" }
            .let { if (it.isEmpty()) "" else "?$it" }

    private companion object {
        const val FIRST_ERROR = 400
    }
}
