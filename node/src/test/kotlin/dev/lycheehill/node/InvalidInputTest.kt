package dev.lycheehill.node

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class InvalidInputTest {
    /** Guards against malformed or ambiguous requests that are forwarded, which allows request smuggling for instance. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `an invalid request is rejected, closes the connection and reaches no backend server`(case: InvalidCase) {
        TestMesh(targets = 1).use { mesh ->
            mesh.newClient().use { client ->
                client.send(case.text)
                val response = client.read()
                expectThat(response.status).describedAs(case.name) isEqualTo case.status
                expectThat(response.verdict).describedAs(case.name) isEqualTo "not-run"
                expectThat(client.isClosedByPeer()).describedAs(case.name).isTrue()
            }
            expectThat(mesh.runs.all()) isEqualTo emptyMap()
        }
    }

    /** Guards against connections that are occupied for ever by clients which send their headers very slowly. */
    @Test
    fun `the response to headers that arrive too slowly is 408`() {
        TestMesh(targets = 1, settings = DataPathSettings(eventLoopCount = 1, headerTimeoutMs = 100)).use { mesh ->
            mesh.newClient().use { client ->
                client.send("GET /orders HTTP/1.1\r\nhost: a\r\n")
                expectThat(client.read().status) isEqualTo 408
            }
        }
    }

    class InvalidCase(
        val name: String,
        val status: Int,
        val text: String,
    ) {
        override fun toString(): String = name
    }

    companion object {
        @JvmStatic
        fun cases(): List<InvalidCase> =
            listOf(
                InvalidCase("not HTTP", 400, "hello\r\n\r\n"),
                InvalidCase("no host", 400, "GET /orders HTTP/1.1\r\n\r\n"),
                InvalidCase("two hosts", 400, "GET /orders HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n"),
                InvalidCase("CONNECT", 400, "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n"),
                InvalidCase("unsupported HTTP version", 400, "GET /orders HTTP/3.0\r\nhost: a\r\n\r\n"),
                InvalidCase("space in header name", 400, "GET /orders HTTP/1.1\r\nhost: a\r\nx y: 1\r\n\r\n"),
                InvalidCase("negative length", 400, "POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n"),
                InvalidCase("two lengths", 400, "POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"),
                InvalidCase(
                    "length and chunks",
                    400,
                    "POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                ),
                InvalidCase("bad chunk size", 400, "POST /orders HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"),
                InvalidCase("long line", 414, "GET /${"a".repeat(9_000)} HTTP/1.1\r\nhost: a\r\n\r\n"),
                InvalidCase("long headers", 431, "GET /orders HTTP/1.1\r\nhost: a\r\nx: ${"a".repeat(33_000)}\r\n\r\n"),
                InvalidCase("long body by length", 413, "POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 8388609\r\n\r\n"),
            )
    }
}
