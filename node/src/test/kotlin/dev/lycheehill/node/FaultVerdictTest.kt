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
    /** Guards against a retry of a non-idempotent call that the backend server may have executed before its response failed. */
    @ParameterizedTest
    @CsvSource(
        // fault, method, status, verdict, fewest and most executions over all targets
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
    fun `each response fault gives its documented status and verdict and a non-idempotent call is executed once`(
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
            val response = mesh.newClient().use { it.call(method, "/orders", headers) }
            expectThat(response.status) isEqualTo status
            expectThat(response.verdict) isEqualTo verdict
            expectThat(mesh.runs.countsOf("k").started).isIn(fewestRuns..mostRuns)
        }
    }

    /** Guards against a call that fails, or is executed twice, although its first target certainly did not execute it. */
    @Test
    fun `a call that the target did not execute is retried at another target and executed once`() {
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
                // The member record is not updated yet, so calls are still sent to the failed target.
                mesh.fleet.update("target-0") { it.copy(state = MemberState.READY, service = "orders") }
                mesh.newClient().use { client ->
                    // The retry budget permits three retries in 10 s even at a low call rate, so each of these calls may be retried.
                    repeat(3) { number ->
                        val key = "$name $number"
                        val response = client.call("POST", "/orders", mapOf(BackendHeaders.REQUEST_KEY to key))
                        expectThat(response.verdict).describedAs(key) isEqualTo "ran"
                        expectThat(mesh.runs.countsOf(key).started).describedAs(key) isEqualTo 1
                    }
                }
            }
        }
    }

    @Test
    fun `a truncated large response closes the caller's connection so that it cannot be mistaken for a complete one`() {
        TestMesh(targets = 1).use { mesh ->
            listOf(BackendFault.CLOSE_MID_BODY, BackendFault.TRUNCATED_CHUNKS).forEach { fault ->
                mesh.backends[0].fault = fault
                val response = mesh.newClient().use { it.call("GET", "/orders", mapOf(BackendHeaders.RESPONSE_BYTES to "1000000")) }
                expectThat(response.isComplete).describedAs("$fault").isFalse()
            }
        }
    }

    /** Guards against surplus bytes on a reused connection that are read as the response to the next request. */
    @Test
    fun `surplus bytes after a response are never part of the next response`() {
        TestMesh(targets = 1).use { mesh ->
            mesh.backends[0].fault = BackendFault.OVER_LONG
            mesh.newClient().use { client ->
                val keys = List(20) { "key-$it" }
                val bodies = keys.map { client.call("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to it)).body }
                expectThat(bodies) isEqualTo keys.map { "$it 0\n" }
            }
        }
    }

    /** Guards against calls to a backend server that stopped renewing its lease, for instance because it hangs. */
    @Test
    fun `a target with an expired lease becomes draining and its node rejects calls`() {
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
