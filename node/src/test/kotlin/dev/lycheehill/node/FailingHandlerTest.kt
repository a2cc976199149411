package dev.lycheehill.node

import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.settings.HostPort
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Tests callers of a listener whose handler fails. */
class FailingHandlerTest {
    private val group = Transport.NIO.newGroup(1, "test-loop")

    @AfterEach
    fun stopGroup() {
        group.shutdownGracefully()
    }

    /** Guards against a connection on which no request is answered any more after a handler has failed with an error. */
    @ParameterizedTest
    @ValueSource(classes = [IllegalStateException::class, StackOverflowError::class, OutOfMemoryError::class])
    fun `a request whose handler fails gets status 500, and the next request is handled`(failure: Class<out Throwable>) {
        val handler = CallHandler { throw failure.getDeclaredConstructor().newInstance() }
        val listener = HttpListener(DataPathSettings(), Transport.NIO, group, handler, NodeMetrics())
        listener.start(HostPort.LOOPBACK_FREE_PORT)
        RawClient(listener.address).use { caller ->
            val statuses = List(2) { caller.call("POST", "/orders").status }
            expectThat(statuses) isEqualTo listOf(500, 500)
        }
        listener.closeNow()
    }
}
