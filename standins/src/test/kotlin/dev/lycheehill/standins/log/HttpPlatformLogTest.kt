package dev.lycheehill.standins.log

import dev.lycheehill.core.Verdict
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.http.HttpLogSettings
import dev.lycheehill.platformlog.http.HttpPlatformLog
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.concurrent.thread

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpPlatformLogTest {
    /** Guards against reporting an append as not run although the log may have stored the record. */
    @ParameterizedTest
    @CsvSource(
        "429 Too Many Requests, '{}', RATE_LIMITED, NOT_RUN",
        "503 Service Unavailable, '{}', UNAVAILABLE, NOT_RUN",
        "413 Content Too Large, '{}', REFUSED, NOT_RUN",
        "408 Request Timeout, '{}', TIMEOUT, MAY_HAVE_RUN",
        "500 Internal Server Error, '{}', UNAVAILABLE, MAY_HAVE_RUN",
        "502 Bad Gateway, '{}', UNAVAILABLE, MAY_HAVE_RUN",
        "200 OK, '{\"offset\":', UNAVAILABLE, MAY_HAVE_RUN",
        "200 OK, '{}', UNAVAILABLE, MAY_HAVE_RUN",
        ", '', UNAVAILABLE, MAY_HAVE_RUN",
        "silent, '', TIMEOUT, MAY_HAVE_RUN",
    )
    fun `each failure of an append has its kind and verdict`(
        status: String?,
        body: String,
        kind: LogError.Kind,
        verdict: Verdict,
    ) {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) { respondOnce(server, status, body) }
            val error = client(server.localPort).append("config", ByteArray(1)).leftOrNull()
            expectThat(error?.kind to error?.verdict).isEqualTo(kind to verdict)
        }
    }

    /** Guards against a malformed response that is taken for a stored record, or for a promise that the record is not stored. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 Zero~", "HTTP/1.1 099 Low~", "HTTP/1.1 600 High~", "HTTP/1.1 999 High~", "HTTP/1.1 20 Short~",
            "HTTP/1.1 2000 Long~",
            "HTTP/1.1 4290 Long~", "HTTP/1.1 0429 Long~", "HTTP/1.1 +29 Sign~", "HTTP/1.1 4x9 Letter~", "HTTP/1.1  200 Blanks~",
            "HTTP/1.1\t200 Tab~", "HTTP/1.1 200 Con\u0001trol~", "HTTP/2.0 200 Version~", "XTTP/1.1 200 Version~", "HTTP/1.1 101 Protocol~",
            "HTTP/1.1 102 Processing~~HTTP/1.1 000 Zero~", "HTTP/1.1 100 Continue~~HTTP/1.1 000 Zero~",
            "HTTP/1.1 200 OK~X Blank: 1~", "HTTP/1.1 200 OK~X-Blank : 1~", "HTTP/1.1 200 OK~X-Con\u0001trol: 1~", "HTTP/1.1 200 OK~: 1~",
            "HTTP/1.1 200 OK~No-Colon~", "HTTP/1.1 200 OK~X: a\u0001b~", "HTTP/1.1 200 OK~ X-Blank: 1~", "HTTP/1.1 200 OK~X-A: 1~ folded~",
        ],
    )
    fun `a malformed response to an append leaves its outcome open`(head: String) {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    socket.getInputStream().read(ByteArray(4_096))
                    val text = head.replace("~", "\r\n") + "Content-Length: 12\r\n\r\n{\"offset\":1}"
                    socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
                }
            }
            val result = client(server.localPort).append("config", ByteArray(1))
            expectThat(result.leftOrNull()?.verdict).describedAs("$result") isEqualTo Verdict.MAY_HAVE_RUN
        }
    }

    /** Guards against the beginning of a response that is taken for the whole response. */
    @ParameterizedTest
    @CsvSource("1, true", "$LONG_PAYLOAD, true", "$LONG_PAYLOAD, false")
    fun `a response to an append that is interrupted leaves its outcome open`(
        payloadBytes: Int,
        isReset: Boolean,
    ) {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    socket.getInputStream().read(ByteArray(64))
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n{\"offset\":1}".toByteArray())
                    Thread.sleep(50)
                    if (isReset) socket.setSoLinger(true, 0) else socket.shutdownOutput()
                    Thread.sleep(200)
                }
            }
            val result = client(server.localPort).append("config", ByteArray(payloadBytes))
            expectThat(result.leftOrNull()?.verdict).describedAs("$result") isEqualTo Verdict.MAY_HAVE_RUN
        }
    }

    @Test
    fun `an append over a refused connection has the verdict not run`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        expectThat(client(port).append("config", ByteArray(1)).leftOrNull()?.verdict).isEqualTo(Verdict.NOT_RUN)
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "PUT | /v1/faults | {\"delay_ms\": 5, \"max_appends_per_s\": 9} | 200 | \"delay_ms\":5,\"lose_answers\":false",
            "PUT | /v1/faults | {\"delay\": 5} | 400 | unknown key delay",
            "PUT | /v1/faults | {\"delay_ms\": -5} | 400 | delay_ms must be a whole number of at least 0",
            "GET | /v1/faults | '' | 200 | \"outage\":false",
            "GET | /v1/streams/a/records?max=0 | '' | 400 | Bad Request",
            "GET | /v1/streams/a/records?from=x | '' | 400 | Bad Request",
            "PUT | /v1/streams/a/records | '' | 405 | Method Not Allowed",
            "GET | /other | '' | 404 | Not Found",
        ],
    )
    fun `the stand-in responds with the status and body of the protocol`(
        method: String,
        path: String,
        body: String,
        status: Int,
        expectedPart: String,
    ) {
        LogStandIn().start().use { standIn ->
            val request =
                HttpRequest
                    .newBuilder(URI.create("${standIn.baseUri}$path"))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .build()
            val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
            expectThat(response.statusCode()).isEqualTo(status)
            expectThat(response.body()).contains(expectedPart)
        }
    }

    private fun client(port: Int) = HttpPlatformLog(HttpLogSettings(URI.create("http://127.0.0.1:$port"), requestTimeoutMs = 300))

    private fun respondOnce(
        server: ServerSocket,
        status: String?,
        body: String,
    ) = server.accept().use { socket ->
        socket.getInputStream().read(ByteArray(4_096))
        if (status == "silent") Thread.sleep(1_000)
        if (status != null && status != "silent") {
            val rawResponse = "HTTP/1.1 $status\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n$body"
            socket.getOutputStream().write(rawResponse.toByteArray())
        }
    }

    private companion object {
        const val LONG_PAYLOAD = 7_340_032
    }
}
