package dev.lycheehill.node

import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.fleet.FleetView
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.view.InMemoryFleetView
import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture

/** Tests a stop in which a step fails. */
class FailingStopTest {
    private val slowBackends = BackendSettings(slots = 10, shortCalls = ServiceTimeDistribution(500.0, 500.0))

    /** Guards against calls that are cut off because the stop, and with it the process, ends at its first failing step. */
    @Test
    fun `a stop whose announcement fails still completes the calls in flight`() {
        TestMesh(targets = 1, backendSettings = slowBackends).use { mesh ->
            SystemTimerService().use { timers ->
                val node = startNode(mesh, timers)
                RawClient(node.egressAddress).use { caller ->
                    caller.send(RawClient.request("POST", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "in-flight")))
                    awaitUntil { mesh.backends[0].running == 1 }
                    val ended = CompletableFuture.runAsync { endProcess(node) }
                    expectThat(caller.read("POST").verdict) isEqualTo "ran"
                    ended.join()
                }
            }
        }
    }

    // The process ends when its shutdown hook returns or throws.
    private fun endProcess(node: LycheehillNode) {
        runCatching { node.stop() }
        node.kill()
    }

    private fun startNode(
        mesh: TestMesh,
        timers: SystemTimerService,
    ): LycheehillNode {
        mesh.fleet.put(
            MemberRecord(
                "failing",
                1,
                MemberState.COLD,
                "lakes-a",
                "great-lakes",
                controlAddress = "127.0.0.1:1",
                dataAddress = "127.0.0.1:1",
            ),
        )
        val fleet = FailingAnnouncements(InMemoryFleetView(mesh.fleet, "failing"))
        return LycheehillNode(DataPathSettings(eventLoopCount = 1), fleet, timers).apply { start() }
    }

    private fun awaitUntil(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + 10_000_000_000
        while (!condition() && System.nanoTime() < endNanos) Thread.sleep(2)
        check(condition())
    }

    private class FailingAnnouncements(
        private val view: FleetView,
    ) : FleetView by view {
        override fun announce(
            state: MemberState,
            service: String,
            slots: Int,
        ): Unit = error("cannot announce $state")
    }
}
