package dev.lycheehill.node

import dev.lycheehill.node.loop.Transport
import dev.lycheehill.standins.backend.BackendHeaders
import io.netty.channel.EventLoopGroup
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch

/** Tests requests that have arrived before a stop closes their connection, but that the node has not read yet. */
class LateReadInStopTest {
    /** Sender of the request: a caller, or another node that passes on a request. */
    enum class Sender { CALLER, NODE }

    /** Guards against requests that a busy node reads only to discard them, because the stop took their connection for idle. */
    @ParameterizedTest
    @CsvSource("CALLER, POST, ''", "CALLER, POST, body", "CALLER, GET, ''", "NODE, POST, ''")
    fun `a request that arrived before its connection was closed gets a response`(
        sender: Sender,
        method: String,
        body: String,
    ) {
        val group = Transport.NIO.newGroup(1, "test-loop")
        TestMesh(targets = 1, callerGroup = group).use { mesh ->
            val address = if (sender == Sender.CALLER) mesh.callerNode.egressAddress else mesh.callerNode.ingressAddress
            RawClient(address).use { caller ->
                caller.call("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "warm"))
                val stopped =
                    block(group).use {
                        caller.send(RawClient.request(method, "/orders", mapOf(BackendHeaders.REQUEST_KEY to "unread"), body))
                        Thread.sleep(LOSS_SLACK_MS + 100)
                        CompletableFuture.runAsync { mesh.callerNode.closeGracefully(STOP_TIMEOUT_MS) }.also { Thread.sleep(CLOSE_WAIT_MS) }
                    }
                expectThat(caller.read(method).isComplete).isTrue()
                stopped.join()
            }
        }
        group.shutdownGracefully()
    }

    // Occupies the event loop until the returned object is closed.
    private fun block(group: EventLoopGroup): AutoCloseable {
        val isBlocked = CountDownLatch(1)
        val end = CountDownLatch(1)
        group.execute {
            isBlocked.countDown()
            end.await()
        }
        isBlocked.await()
        return AutoCloseable { end.countDown() }
    }

    private companion object {
        // A connection may be closed without a response only within this time after the last byte of the request was sent.
        const val LOSS_SLACK_MS = 200L
        const val CLOSE_WAIT_MS = 100L
        const val STOP_TIMEOUT_MS = 3_000L
    }
}
