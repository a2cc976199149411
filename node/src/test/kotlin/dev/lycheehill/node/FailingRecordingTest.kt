package dev.lycheehill.node

import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.target.TargetRegistration
import dev.lycheehill.node.tracing.Hop
import dev.lycheehill.node.tracing.HopResult
import dev.lycheehill.node.tracing.HopSpan
import dev.lycheehill.node.tracing.NoopSpanRecorder
import dev.lycheehill.node.tracing.SpanRecorder
import dev.lycheehill.node.view.InMemoryFleetView
import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Tests calls whose recording fails at their end. */
class FailingRecordingTest {
    /** Guards against a response of a request that has run, but that no caller gets because something else fails before it is sent. */
    @ParameterizedTest
    @EnumSource(names = ["EGRESS", "ATTEMPT"])
    fun `a caller gets the response although the span of the call cannot be recorded`(failingHop: Hop) {
        TestMesh(targets = 1).use { mesh ->
            SystemTimerService().use { timers ->
                val node = startNode(mesh, timers, FailingSpans(failingHop))
                RawClient(node.egressAddress).use { caller ->
                    val headers = mapOf(BackendHeaders.REQUEST_KEY to "k", "lycheehill-deadline-ms" to "1000")
                    expectThat(caller.call("POST", "/orders", headers).verdict) isEqualTo "ran"
                }
                node.kill()
            }
        }
    }

    /** Guards against a call that never ends because its attempt cannot be recorded at the deadline. */
    @Test
    fun `a caller gets a response at its deadline although the attempt cannot be recorded`() {
        val slowBackends = BackendSettings(slots = 10, shortCalls = ServiceTimeDistribution(6_000.0, 6_000.0))
        TestMesh(targets = 1, backendSettings = slowBackends).use { mesh ->
            SystemTimerService().use { timers ->
                val node = startNode(mesh, timers, FailingSpans(Hop.ATTEMPT))
                RawClient(node.egressAddress).use { caller ->
                    val headers = mapOf(BackendHeaders.REQUEST_KEY to "k", "lycheehill-deadline-ms" to "1000")
                    expectThat(caller.call("POST", "/orders", headers).verdict) isEqualTo "may-have-run"
                }
                node.kill()
            }
        }
    }

    /** Guards against a request that has run and is reported as not run, because the end of its attempt cannot be recorded. */
    @ParameterizedTest
    @ValueSource(strings = ["HTTP/1.1 000 Zero~", "HTTP/1.1 502 Bad~lycheehill-verdict: may-have-run~", ""])
    fun `a failed attempt that cannot be recorded leaves the outcome of a call open`(head: String) {
        val peer =
            RawPeer { socket, requestHead ->
                val id = requestHead.firstOrNull { it.startsWith("lh-id") }.orEmpty()
                val text = if (head.isEmpty()) "" else "${head.replace("~", "\r\n")}$id\r\nContent-Length: 0\r\n\r\n"
                socket.getOutputStream().write(text.encodeToByteArray())
            }
        TestMesh(targets = 1).use { mesh ->
            SystemTimerService().use { timers ->
                mesh.fleet.update("target-0") { it.copy(dataAddress = peer.address) }
                val node = startNode(mesh, timers, FailingSpans(Hop.ATTEMPT))
                RawClient(node.egressAddress).use { caller ->
                    val headers = mapOf("lycheehill-deadline-ms" to "300")
                    expectThat(caller.call("POST", "/orders", headers).verdict) isEqualTo "may-have-run"
                }
                expectThat(peer.requestCount.get()) isEqualTo 1
                node.kill()
            }
        }
        peer.close()
    }

    /** Guards against a response that the caller's node never gets because the recording beside the backend server fails. */
    @Test
    fun `a caller gets the response although the node of the backend server cannot record the call`() {
        TestMesh(targets = 1, announces = false).use { mesh ->
            SystemTimerService().use { timers ->
                val node = startNode(mesh, timers, FailingSpans(Hop.INGRESS))
                mesh.fleet.update(NODE_ID) { it.copy(dataAddress = "127.0.0.1:${node.ingressAddress.port}") }
                node.target.announce(TargetRegistration("orders", mesh.backends[0].address, MemberState.READY, 10, 60_000))
                RawClient(mesh.callerNode.egressAddress).use { caller ->
                    val headers = mapOf(BackendHeaders.REQUEST_KEY to "k", "lycheehill-deadline-ms" to "1000")
                    expectThat(caller.call("POST", "/orders", headers).verdict) isEqualTo "ran"
                }
                node.kill()
            }
        }
    }

    private fun startNode(
        mesh: TestMesh,
        timers: SystemTimerService,
        spans: SpanRecorder,
    ): LycheehillNode {
        mesh.fleet.put(
            MemberRecord(
                NODE_ID,
                1,
                MemberState.COLD,
                "lakes-a",
                "great-lakes",
                controlAddress = "127.0.0.1:1",
                dataAddress = "127.0.0.1:1",
            ),
        )
        val settings = DataPathSettings(eventLoopCount = 1)
        return LycheehillNode(settings, InMemoryFleetView(mesh.fleet, NODE_ID), timers, spans = spans).apply { start() }
    }

    private class FailingSpans(
        private val failingHop: Hop,
    ) : SpanRecorder by NoopSpanRecorder {
        override fun start(
            hop: Hop,
            traceparent: String?,
        ): HopSpan {
            val span = NoopSpanRecorder.start(hop, traceparent)
            return if (hop == failingHop) FailingSpan(span) else span
        }
    }

    private class FailingSpan(
        private val span: HopSpan,
    ) : HopSpan by span {
        override fun end(result: HopResult): Unit = error("cannot record $result")
    }

    private companion object {
        const val NODE_ID = "n"
    }
}
