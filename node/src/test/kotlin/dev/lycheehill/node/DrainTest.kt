package dev.lycheehill.node

import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.RunRecord
import dev.lycheehill.standins.backend.ServiceTime
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors

class DrainTest {
    // The common pool has one worker less than the machine has cores, which may be fewer than the concurrent calls.
    private val threads = Executors.newCachedThreadPool()

    @AfterEach
    fun stopThreads() {
        threads.shutdownNow()
    }

    private val slow = BackendSettings(slots = 10, shortCalls = ServiceTime(300.0, 300.0))

    @Test
    fun `a graceful stop cuts no call in flight and takes no new one`() {
        TestMesh(targets = 1, backendSettings = slow).use { mesh ->
            val calls = List(8) { callLater(mesh, "k$it") }
            awaitUntil { mesh.backends[0].running == 8 }
            val stopped = CompletableFuture.runAsync({ mesh.targetNodes[0].stop() }, threads)
            awaitUntil { mesh.targetNodes[0].target.isDraining }
            val late = mesh.caller().use { it.call("POST", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "late")) }
            expectThat(late.verdict) isEqualTo "not-run"
            expectThat(calls.map { it.join().verdict }).all { isEqualTo("ran") }
            stopped.join()
            expectThat(mesh.runs.of("late")) isEqualTo RunRecord()
        }
    }

    @Test
    fun `a call that its caller gave up is cancelled at the backend server and its connection is not reused`() {
        TestMesh(targets = 1, backendSettings = slow).use { mesh ->
            val abandoned = mesh.caller()
            abandoned.send(RawClient.request("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "abandoned")))
            awaitUntil { mesh.backends[0].running == 1 }
            abandoned.close()
            awaitUntil { mesh.runs.of("abandoned").cancelled == 1 }
            expectThat(callLater(mesh, "next").join().body) isEqualTo "next 0\n"
            expectThat(mesh.runs.of("abandoned").finished) isEqualTo 0
        }
    }

    /** Guards against a request that is passed on and then cut, because the answer before it closes the connection. */
    @Test
    fun `a request behind the last one of a stopping node is not passed on`() {
        TestMesh(targets = 1, backendSettings = slow).use { mesh ->
            mesh.caller().use { caller ->
                caller.send(RawClient.request("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "first")))
                awaitUntil { mesh.backends[0].running == 1 }
                val stopped = CompletableFuture.runAsync({ mesh.callerNode.closeGracefully(5_000) }, threads)
                awaitUntil { runCatching { mesh.caller().close() }.isFailure }
                Thread.sleep(50)
                caller.send(RawClient.request("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "behind")))
                expectThat(caller.read().body.trim()) isEqualTo "first 0"
                expectThat(caller.isClosedByPeer()).isTrue()
                stopped.join()
                expectThat(mesh.runs.of("behind")) isEqualTo RunRecord()
            }
        }
    }

    private fun callLater(
        mesh: TestMesh,
        key: String,
    ): CompletableFuture<RawResponse> =
        CompletableFuture.supplyAsync(
            { mesh.caller().use { it.call("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to key)) } },
            threads,
        )

    private fun awaitUntil(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + 10_000_000_000
        while (!condition() && System.nanoTime() < endNanos) Thread.sleep(2)
        expectThat(condition()).isTrue()
    }
}
