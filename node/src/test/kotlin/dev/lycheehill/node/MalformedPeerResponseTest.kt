package dev.lycheehill.node

import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.target.TargetRegistration
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.Socket

/** Tests what a caller receives when a backend server or another node sends bytes that are no complete response. */
class MalformedPeerResponseTest {
    /** Guards against a malformed response that is passed on, or taken for a refusal, by either node on the path of a call. */
    @ParameterizedTest
    @EnumSource(Peer::class)
    fun `a malformed response leaves the outcome of a call open`(role: Peer) {
        val heads =
            listOf(
                "HTTP/1.1 000 Zero",
                "HTTP/1.1 600 High",
                "HTTP/1.1 0200 Long",
                "HTTP/1.1 5030 Long",
                "HTTP/1.1 +200 Sign",
                "HTTP/2.0 200 OK",
                "HTTP/1.1 200 OK~X Blank: 1",
                "HTTP/1.1 200 OK~X-Blank : 1",
                "HTTP/1.1 200 OK~X-Con\u0001trol: 1",
                "HTTP/1.1 200 OK~X: a~ folded",
                "HTTP/1.1 503 Unavailable~X Blank: 1",
                "HTTP/1.1 102 Processing~X Blank: 1~~HTTP/1.1 200 OK",
                "HTTP/1.1 101 Switching Protocols",
            )
        for (head in heads) {
            // The verdict of a node's response must not be read from a malformed one.
            for (verdict in listOf("ran", "not-run")) {
                expectUnknownOutcome(role, description = "$head, $verdict") { socket, requestHead ->
                    val id = requestHead.firstOrNull { it.startsWith("lh-id") }.orEmpty()
                    val text = "${head.replace("~", "\r\n")}\r\n$id\r\nlycheehill-verdict: $verdict\r\nContent-Length: 2\r\n\r\nab"
                    socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
                }
            }
        }
    }

    /** Guards against the beginning of a response that is passed on as a complete one. */
    @ParameterizedTest
    @CsvSource("BACKEND_SERVER, 0", "BACKEND_SERVER, $LONG_BODY", "NODE, 0", "NODE, $LONG_BODY")
    fun `a response without a length that ends with a reset leaves the outcome of a call open`(
        role: Peer,
        requestBytes: Int,
    ) {
        expectUnknownOutcome(role, "reset", "u".repeat(requestBytes)) { socket, requestHead ->
            val id = requestHead.firstOrNull { it.startsWith("lh-id") }.orEmpty()
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n$id\r\nlycheehill-verdict: ran\r\n\r\nbeginning".encodeToByteArray())
            Thread.sleep(PAUSE_MS)
            socket.setSoLinger(true, 0)
        }
    }

    private fun expectUnknownOutcome(
        role: Peer,
        description: String,
        body: String = "",
        respond: (Socket, List<String>) -> Unit,
    ) {
        RawPeer(respond).use { peer ->
            TestMesh(targets = 1).use { mesh ->
                when (role) {
                    Peer.BACKEND_SERVER ->
                        mesh.targetNodes[0].target.announce(TargetRegistration("orders", peer.address, MemberState.READY, 1, LEASE_MS))
                    Peer.NODE -> mesh.fleet.update("target-0") { it.copy(dataAddress = peer.address) }
                }
                val response = mesh.newClient().use { it.call("POST", "/orders", mapOf("lycheehill-deadline-ms" to "3000"), body) }
                expectThat(response.status to response.verdict).describedAs(description) isEqualTo (502 to "may-have-run")
                expectThat(peer.requestCount.get()).describedAs("requests, $description") isEqualTo 1
            }
        }
    }

    /** Sender of the malformed response. */
    enum class Peer { BACKEND_SERVER, NODE }

    private companion object {
        const val LONG_BODY = 7_340_032
        const val LEASE_MS = 60_000L
        const val PAUSE_MS = 60L
    }
}
