package dev.lycheehill.node

import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.ServiceTime
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class PipelineTest {
    private val slow = BackendSettings(slots = 10, shortCalls = ServiceTime(300.0, 300.0))

    private fun request(
        method: String,
        key: String,
        path: String = "/orders",
    ) = RawClient.request(method, path, mapOf(BackendHeaders.REQUEST_KEY to key))

    /** Guards against an idempotent request that waits for the ones before it, and against answers in another order. */
    @Test
    fun `pipelined idempotent requests run side by side and are answered in order`() {
        TestMesh(targets = 1, backendSettings = slow).use { mesh ->
            mesh.caller().use { caller ->
                caller.send(request("GET", "warm"))
                caller.read()
                val startNanos = System.nanoTime()
                val keys = List(4) { "k$it" }
                keys.forEach { caller.send(request("GET", it)) }
                val bodies = keys.map { caller.read().body.trim() }
                val elapsedMs = (System.nanoTime() - startNanos) / 1_000_000
                expectThat(bodies).containsExactly("k0 0", "k1 0", "k2 0", "k3 0")
                // One after the other they take 1,200 ms.
                expectThat(elapsedMs).isLessThan(1_100)
            }
        }
    }

    /** Guards against a request that may run once only and that begins although the one before it may close the connection. */
    @Test
    fun `a request that may not be repeated waits for the ones before it`() {
        TestMesh(targets = 1, backendSettings = slow).use { mesh ->
            mesh.caller().use { caller ->
                val startNanos = System.nanoTime()
                caller.send(request("GET", "first"))
                caller.send(request("POST", "second"))
                expectThat(caller.read().body.trim()) isEqualTo "first 0"
                expectThat(mesh.runs.of("second").finished) isEqualTo 0
                expectThat(caller.read().body.trim()) isEqualTo "second 0"
                expectThat((System.nanoTime() - startNanos) / 1_000_000).isGreaterThan(590)
            }
        }
    }

    /** Guards against an answer that overtakes that of an earlier request because it is ready at once. */
    @Test
    fun `an answer of the node itself waits for the earlier ones`() {
        TestMesh(targets = 1, backendSettings = slow).use { mesh ->
            mesh.caller().use { caller ->
                caller.send(request("GET", "first"))
                caller.send(request("GET", "none", path = "/none"))
                caller.send(request("GET", "third"))
                expectThat(List(3) { caller.read().status }).containsExactly(200, 404, 200)
            }
        }
    }

    /** Guards against a malformed request behind good ones that cuts their answers. */
    @Test
    fun `a malformed request is answered after the good ones before it`() {
        TestMesh(targets = 1, backendSettings = slow).use { mesh ->
            mesh.caller().use { caller ->
                caller.send(request("GET", "first"))
                caller.send("BROKEN\r\n\r\n")
                expectThat(caller.read().status) isEqualTo 200
                expectThat(caller.read().status) isEqualTo 400
            }
        }
    }
}
