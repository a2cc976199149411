package dev.lycheehill.node

import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.SuccessEvidence
import dev.lycheehill.node.quarantine.EvidenceChannel
import dev.lycheehill.standins.backend.BackendHeaders
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class CrashRequestTest {
    /** Guards against a request that crashes one target after another because its caller retries it. */
    @Test
    fun `a request that crashed two targets is quarantined on all nodes while other requests run`() {
        val channel = SharedEvidence()
        TestMesh(targets = 4, evidence = channel).use { mesh ->
            channel.nodes = mesh.targetNodes
            mesh.newClient().use { client ->
                val crash = mapOf(BackendHeaders.FAULT to "crash", BackendHeaders.REQUEST_KEY to "crash")
                val last = generateSequence { client.call("POST", "/orders/crash", crash) }.take(40).firstOrNull { it.status == 422 }
                expectThat(last?.verdict) isEqualTo "not-run"
                expectThat(last?.reason) isEqualTo "quarantined"
                expectThat(mesh.runs.countsOf("crash").started) isEqualTo 2
                expectThat(client.call("GET", "/orders/other").verdict) isEqualTo "ran"
            }
            RawClient(mesh.targetNodes[0].apiAddress).use { api ->
                val listed = api.call("GET", "/v1/quarantine").body
                val fingerprint = listed.substringAfter("\"fingerprint\":\"").substringBefore('"')
                expectThat(api.call("DELETE", "/v1/quarantine/$fingerprint").body) isEqualTo "[]"
                expectThat(listed) contains "target-"
            }
        }
    }

    private class SharedEvidence : EvidenceChannel {
        @Volatile
        var nodes: List<LycheehillNode> = emptyList()

        override fun send(evidence: CrashEvidence) = nodes.forEach { it.quarantine.onCrash(evidence, System.currentTimeMillis()) }

        override fun send(evidence: SuccessEvidence) = nodes.forEach { it.quarantine.onSuccess(evidence, System.currentTimeMillis()) }
    }
}
