package dev.lycheehill.node

import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.standins.backend.BackendFault
import dev.lycheehill.standins.backend.BackendHeaders
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn

class FaultVerdictTest {
    @ParameterizedTest
    @CsvSource(
        // fault, method, status, verdict, fewest and most runs over all targets
        "NONE,                  POST, 200, ran,          1, 1",
        "NONE,                  GET,  200, ran,          1, 1",
        "OVER_LONG,             POST, 200, ran,          1, 1",
        "CLOSE_BEFORE_RESPONSE, POST, 502, may-have-run, 1, 1",
        "CLOSE_BEFORE_RESPONSE, GET,  502, may-have-run, 2, 3",
        "CLOSE_MID_BODY,        POST, 502, may-have-run, 1, 1",
        "CLOSE_MID_BODY,        GET,  502, may-have-run, 2, 3",
        "TRUNCATED_CHUNKS,      POST, 502, may-have-run, 1, 1",
        "NOT_HTTP,              POST, 502, may-have-run, 1, 1",
        "SILENT,                POST, 504, may-have-run, 1, 1",
        "SILENT,                GET,  504, may-have-run, 1, 3",
    )
    fun `a faulty answer gives the verdict of the page and a non-idempotent call runs once`(
        fault: BackendFault,
        method: String,
        status: Int,
        verdict: String,
        fewestRuns: Int,
        mostRuns: Int,
    ) {
        TestMesh(targets = 3).use { mesh ->
            mesh.backends.forEach { it.fault = fault }
            val headers = mapOf(BackendHeaders.REQUEST_KEY to "k", "lycheehill-deadline-ms" to "400")
            val response = mesh.caller().use { it.call(method, "/orders", headers) }
            expectThat(response.status) isEqualTo status
            expectThat(response.verdict) isEqualTo verdict
            expectThat(mesh.runs.of("k").started).isIn(fewestRuns..mostRuns)
        }
    }

    @Test
    fun `a call that no target started is tried elsewhere and runs once`() {
        val failures =
            mapOf<String, (TestMesh) -> Unit>(
                "backend server down" to { it.backends[0].crash() },
                "node killed" to { it.targetNodes[0].kill() },
                "node draining" to { it.targetNodes[0].target.drain() },
                "lease expired" to { it.announce(0, leaseMs = -1) },
                "instance replaced by one of another service" to { it.announce(0, service = "ledger") },
            )
        failures.forEach { (name, fail) ->
            TestMesh(targets = 2).use { mesh ->
                fail(mesh)
                // The table lags behind the failure, so calls still go to the failed target.
                mesh.fleet.update("target-0") { it.copy(state = MemberState.READY, service = "orders") }
                mesh.caller().use { client ->
                    // Few calls of a service may be retried three times in 10 s, so each of these calls has a retry.
                    repeat(3) { number ->
                        val key = "$name $number"
                        val response = client.call("POST", "/orders", mapOf(BackendHeaders.REQUEST_KEY to key))
                        expectThat(response.verdict).describedAs(key) isEqualTo "ran"
                        expectThat(mesh.runs.of(key).started).describedAs(key) isEqualTo 1
                    }
                }
            }
        }
    }

    @Test
    fun `a truncated long response closes the caller's connection so that it cannot look whole`() {
        TestMesh(targets = 1).use { mesh ->
            listOf(BackendFault.CLOSE_MID_BODY, BackendFault.TRUNCATED_CHUNKS).forEach { fault ->
                mesh.backends[0].fault = fault
                val response = mesh.caller().use { it.call("GET", "/orders", mapOf(BackendHeaders.RESPONSE_BYTES to "1000000")) }
                expectThat(response.isComplete).describedAs("$fault").isFalse()
            }
        }
    }

    @Test
    fun `bytes after a response never reach the next caller`() {
        TestMesh(targets = 1).use { mesh ->
            mesh.backends[0].fault = BackendFault.OVER_LONG
            mesh.caller().use { client ->
                val keys = List(20) { "key-$it" }
                val bodies = keys.map { client.call("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to it)).body }
                expectThat(bodies) isEqualTo keys.map { "$it 0\n" }
            }
        }
    }

    @Test
    fun `an expired lease makes the member draining and its node refuse`() {
        TestMesh(targets = 1).use { mesh ->
            mesh.announce(0, leaseMs = -1)
            mesh.targetNodes[0].target.checkLease()
            expectThat(
                mesh.fleet
                    .members()
                    .getValue("target-0")
                    .state,
            ) isEqualTo MemberState.DRAINING
            val response =
                RawClient(mesh.targetNodes[0].ingressAddress).use {
                    it.call(
                        "GET",
                        "/orders",
                        mapOf(
                            "lycheehill-service" to "orders",
                        ),
                    )
                }
            expectThat(response.verdict) isEqualTo "not-run"
            expectThat(response.reason) isEqualTo "lease-expired"
        }
    }
}
