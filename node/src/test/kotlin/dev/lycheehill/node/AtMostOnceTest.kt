package dev.lycheehill.node

import dev.lycheehill.standins.backend.BackendFault
import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.Random
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Compares the verdicts of concurrent non-idempotent calls with the executions that the backend servers recorded. */
class AtMostOnceTest {
    /** Guards against a duplicate execution, and a wrong verdict, caused by retries around random faults and crashes. */
    @Test
    fun `each verdict agrees with the recorded executions while backend servers fail and recover`() {
        val random = Random(TestMesh.SEED)
        println("seed ${TestMesh.SEED}")
        val answers = ConcurrentHashMap<String, RawResponse>()
        val backend = BackendSettings(slots = 4, shortCalls = ServiceTimeDistribution(1.0, 5.0))
        TestMesh(targets = 3, backendSettings = backend).use { mesh ->
            val callers = List(8) { caller -> thread { callSequentially(mesh, caller, answers) } }
            while (callers.any { it.isAlive }) {
                injectRandomFault(mesh, random)
                Thread.sleep(20)
            }
            expectThat(answers.size) isEqualTo 8 * CALLS_PER_CALLER
            expectThat(contradictions(mesh, answers)).isEmpty()
        }
    }

    private fun callSequentially(
        mesh: TestMesh,
        caller: Int,
        answers: MutableMap<String, RawResponse>,
    ) {
        var client = mesh.newClient()
        repeat(CALLS_PER_CALLER) { number ->
            val key = "caller-$caller-$number"
            val headers = mapOf(BackendHeaders.REQUEST_KEY to key, "lycheehill-deadline-ms" to "300")
            val response = client.call("POST", "/orders", headers)
            answers[key] = response
            if (!response.isComplete) client = mesh.newClient()
        }
        client.close()
    }

    private fun injectRandomFault(
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
            val runs = mesh.runs.countsOf(key)
            val agrees =
                when (response.verdict) {
                    "ran" -> runs.started == 1 && runs.finished == 1 && response.body == "$key 0\n"
                    "not-run" -> runs.started == 0
                    else -> runs.started <= 1
                }
            if (agrees) null else "$key: $runs, ${response.status} ${response.verdict} ${response.reason}"
        }

    private companion object {
        const val CALLS_PER_CALLER = 150
    }
}
