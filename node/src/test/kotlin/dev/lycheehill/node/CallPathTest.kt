package dev.lycheehill.node

import dev.lycheehill.standins.backend.BackendHeaders
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

class CallPathTest {
    @Test
    fun `a call reaches the backend server through two nodes and its response states verdict and version`() {
        TestMesh(targets = 1).use { mesh ->
            val response = mesh.newClient().use { it.call("POST", "/orders/1", mapOf(BackendHeaders.REQUEST_KEY to "k1"), "charge") }
            expectThat(response) {
                get { status } isEqualTo 200
                get { body } isEqualTo "k1 6\n"
                get { verdict } isEqualTo "ran"
                get { headers["lycheehill-version"] } isEqualTo "1"
            }
            expectThat(mesh.runs.countsOf("k1").finished).isEqualTo(1)
        }
    }

    /** Guards against responses that are lost, mixed or reordered when several requests are in flight on one connection. */
    @Test
    fun `responses to pipelined requests are complete and in order`() {
        TestMesh(targets = 3).use { mesh ->
            mesh.newClient().use { client ->
                val keys = List(20) { "key-$it" }
                client.send(keys.joinToString("") { RawClient.request("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to it)) })
                expectThat(keys.map { client.read().body }) isEqualTo keys.map { "$it 0\n" }
            }
        }
    }

    /** Guards against a call that fails without a verdict, so that its caller cannot tell whether a retry is safe. */
    @Test
    fun `a call without a route or a target is rejected with the verdict not-run`() {
        TestMesh(targets = 0).use { mesh ->
            mesh.newClient().use { client ->
                val refused = listOf(client.call("GET", "/elsewhere"), client.call("GET", "/orders"))
                expectThat(refused.map { it.status }) isEqualTo listOf(404, 503)
                expectThat(refused.map { it.reason }) isEqualTo listOf("no-route", "no-target")
                expectThat(refused.map { it.verdict }).all { isEqualTo("not-run") }
                expectThat(refused[1].headers["retry-after"]).isNotNull()
            }
        }
    }

    /** Guards against bodies that are truncated when they exceed the limit for buffering and are streamed. */
    @Test
    fun `large request and response bodies are forwarded completely`() {
        TestMesh(targets = 1).use { mesh ->
            mesh.newClient().use { client ->
                listOf(1, 200_000, 300_000, 5_000_000).forEach { size ->
                    val headers = mapOf(BackendHeaders.RESPONSE_BYTES to "$size", BackendHeaders.REQUEST_KEY to "k")
                    val response = client.call("POST", "/orders", headers, "x".repeat(size))
                    expectThat(response.isComplete).isTrue()
                    expectThat(response.body) isEqualTo "k $size\n".repeat(size / 4 + 1).substring(0, size)
                }
            }
        }
    }
}
