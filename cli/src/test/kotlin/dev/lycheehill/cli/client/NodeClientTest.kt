package dev.lycheehill.cli.client

import dev.lycheehill.node.settings.HostPort
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.net.InetAddress
import java.net.ServerSocket
import java.time.Duration
import kotlin.concurrent.thread

class NodeClientTest {
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

    private fun get(response: String) =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    socket.getInputStream().read(ByteArray(4_096))
                    socket.getOutputStream().write(response.replace("~", "\r\n").toByteArray(Charsets.ISO_8859_1))
                }
            }
            NodeClient(HostPort("127.0.0.1", server.localPort), Duration.ofSeconds(2)).get("/v1/status")
        }
}
