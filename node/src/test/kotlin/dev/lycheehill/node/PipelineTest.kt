package dev.lycheehill.node

import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class PipelineTest {
    private val slowBackends = BackendSettings(slots = 10, shortCalls = ServiceTimeDistribution(300.0, 300.0))

    private fun request(
        method: String,
        key: String,
        path: String = "/orders",
    ) = RawClient.request(method, path, mapOf(BackendHeaders.REQUEST_KEY to key))

    /** Guards against an idempotent request that waits for earlier requests, and against responses out of order. */
    @Test
    fun `pipelined idempotent requests run concurrently and their responses are in order`() {
        TestMesh(targets = 1, backendSettings = slowBackends).use { mesh ->
            mesh.newClient().use { caller ->
                caller.send(request("GET", "warm"))
                caller.read()
                val startNanos = System.nanoTime()
                val keys = List(4) { "k$it" }
                keys.forEach { caller.send(request("GET", it)) }
                val bodies = keys.map { caller.read().body.trim() }
                val elapsedMs = (System.nanoTime() - startNanos) / 1_000_000
                expectThat(bodies).containsExactly("k0 0", "k1 0", "k2 0", "k3 0")
                // Sequentially, the four requests would take 1,200 ms.
                expectThat(elapsedMs).isLessThan(1_100)
            }
        }
    }

    /** Guards against a non-idempotent request that starts although the previous response may close the connection and cancel it. */
    @Test
    fun `a non-idempotent request waits for the responses to earlier requests`() {
        TestMesh(targets = 1, backendSettings = slowBackends).use { mesh ->
            mesh.newClient().use { caller ->
                val startNanos = System.nanoTime()
                caller.send(request("GET", "first"))
                caller.send(request("POST", "second"))
                expectThat(caller.read().body.trim()) isEqualTo "first 0"
                expectThat(mesh.runs.countsOf("second").finished) isEqualTo 0
                expectThat(caller.read().body.trim()) isEqualTo "second 0"
                expectThat((System.nanoTime() - startNanos) / 1_000_000).isGreaterThan(590)
            }
        }
    }

    /** Guards against a response that is sent before those to earlier requests because the node makes it immediately. */
    @Test
    fun `a response that the node makes itself waits for the responses to earlier requests`() {
        TestMesh(targets = 1, backendSettings = slowBackends).use { mesh ->
            mesh.newClient().use { caller ->
                caller.send(request("GET", "first"))
                caller.send(request("GET", "none", path = "/none"))
                caller.send(request("GET", "third"))
                expectThat(List(3) { caller.read().status }).containsExactly(200, 404, 200)
            }
        }
    }

    /** Guards against a malformed request that suppresses the responses to valid requests before it. */
    @Test
    fun `the response to a malformed request follows those to the valid requests before it`() {
        TestMesh(targets = 1, backendSettings = slowBackends).use { mesh ->
            mesh.newClient().use { caller ->
                caller.send(request("GET", "first"))
                caller.send("BROKEN\r\n\r\n")
                expectThat(caller.read().status) isEqualTo 200
                expectThat(caller.read().status) isEqualTo 400
            }
        }
    }
}
