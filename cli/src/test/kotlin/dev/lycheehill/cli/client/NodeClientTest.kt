package dev.lycheehill.cli.client

import dev.lycheehill.node.settings.HostPort
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.startsWith
import java.net.InetAddress
import java.net.ServerSocket
import java.time.Duration
import java.util.concurrent.CompletableFuture
import kotlin.concurrent.thread

class NodeClientTest {
    private val requestText = CompletableFuture<String>()

    /** Guards against a command that reports a success without a proper response of the node. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 Zero~Content-Length: 2~~{}", "HTTP/1.1 099 Low~Content-Length: 2~~{}", "HTTP/1.1 600 High~Content-Length: 2~~{}",
            "HTTP/1.1 2000 Long~Content-Length: 2~~{}", "HTTP/1.1\t200 Tab~Content-Length: 2~~{}",
            "HTTP/1.1 101 Protocol~Content-Length: 2~~{}",
            "HTTP/1.1 200 OK~X Blank: 1~Content-Length: 2~~{}", "HTTP/1.1 200 OK~X-Blank : 1~Content-Length: 2~~{}",
            "HTTP/1.1 200 OK~No-Colon~Content-Length: 2~~{}", "HTTP/1.1 200 OK~A: 1~ folded~Content-Length: 2~~{}",
            "HTTP/1.1 200 OK~Content-Length: 3~~{}", "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~{}~", "HTTP/1.1 200 OK~",
        ],
    )
    fun `a malformed or interrupted response is an error`(text: String) {
        expectThat(get(text).leftOrNull()).isNotNull()
    }

    /** Guards against a proper response that is an error for the command. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK~Content-Length: 2~~{}", "HTTP/1.1 100 Continue~~HTTP/1.1 200~Content-Length: 2~~{}", "HTTP/1.1 200 OK~~{}",
            "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2;a=b~{}~0~T: 1~~",
        ],
    )
    fun `a well-formed response is a result`(text: String) {
        expectThat(get(text).leftOrNull()).isNull()
    }

    /** Guards against a node that waits for a body that does not follow. */
    @Test
    fun `a POST request without a body states that its length is 0`() {
        call("HTTP/1.1 200 OK~Content-Length: 2~~{}") { it.post("/v1/drain") }
        expectThat(requestText.get().lowercase()).startsWith("post /v1/drain http/1.1\r\n").contains("content-length: 0\r\n")
    }

    private fun get(response: String) = call(response) { it.get("/v1/status") }

    private fun <T> call(
        response: String,
        send: (NodeClient) -> T,
    ): T =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    val buffer = ByteArray(4_096)
                    requestText.complete(String(buffer, 0, socket.getInputStream().read(buffer), Charsets.ISO_8859_1))
                    socket.getOutputStream().write(response.replace("~", "\r\n").toByteArray(Charsets.ISO_8859_1))
                }
            }
            send(NodeClient(HostPort("127.0.0.1", server.localPort), Duration.ofSeconds(2)))
        }
}
