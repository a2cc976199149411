package dev.lycheehill.node

import dev.lycheehill.standins.backend.BackendFault
import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.ServiceTime
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.Random
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Checks the history of concurrent non-idempotent calls against the runs that the backend servers counted. */
class AtMostOnceTest {
    @Test
    fun `each verdict agrees with the runs while faults come and go`() {
        val random = Random(TestMesh.SEED)
        println("seed ${TestMesh.SEED}")
        val answers = ConcurrentHashMap<String, RawResponse>()
        val backend = BackendSettings(slots = 4, shortCalls = ServiceTime(1.0, 5.0))
        TestMesh(targets = 3, backendSettings = backend).use { mesh ->
            val callers = List(8) { caller -> thread { callInTurn(mesh, caller, answers) } }
            while (callers.any { it.isAlive }) {
                disturb(mesh, random)
                Thread.sleep(20)
            }
            expectThat(answers.size) isEqualTo 8 * CALLS
            expectThat(contradictions(mesh, answers)).isEmpty()
        }
    }

    private fun callInTurn(
        mesh: TestMesh,
        caller: Int,
        answers: MutableMap<String, RawResponse>,
    ) {
        var client = mesh.caller()
        repeat(CALLS) { number ->
            val key = "caller-$caller-$number"
            val headers = mapOf(BackendHeaders.REQUEST_KEY to key, "lycheehill-deadline-ms" to "300")
            val response = client.call("POST", "/orders", headers)
            answers[key] = response
            if (!response.isComplete) client = mesh.caller()
        }
        client.close()
    }

    private fun disturb(
        mesh: TestMesh,
        random: Random,
    ) {
        val backend = mesh.backends[random.nextInt(mesh.backends.size)]
        if (!backend.isUp) {
            backend.start()
        } else if (random.nextInt(4) == 0) {
            backend.crash()
        } else {
            backend.fault = BackendFault.entries[random.nextInt(BackendFault.entries.size)]
        }
    }

    private fun contradictions(
        mesh: TestMesh,
        answers: Map<String, RawResponse>,
    ): List<String> =
        answers.entries.mapNotNull { (key, response) ->
            val runs = mesh.runs.of(key)
            val agrees =
                when (response.verdict) {
                    "ran" -> runs.started == 1 && runs.finished == 1 && response.body == "$key 0\n"
                    "not-run" -> runs.started == 0
                    else -> runs.started <= 1
                }
            if (agrees) null else "$key: $runs, ${response.status} ${response.verdict} ${response.reason}"
        }

    private companion object {
        const val CALLS = 150
    }
}
