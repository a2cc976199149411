package dev.lycheehill.node

import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Tests a caller that reads the last responses late in a long stop. */
class LateReaderInStopTest {
    private val backendSettings = BackendSettings(slots = 10, shortCalls = ServiceTimeDistribution(100.0, 100.0))

    /** Guards against responses that a TCP reset destroys, because the node closes its side before the end of the stop. */
    @ParameterizedTest
    @ValueSource(longs = [1_500, 6_000])
    fun `a caller that goes on sending receives its responses until the end of the stop`(sendingMs: Long) {
        TestMesh(targets = 1, backendSettings = backendSettings).use { mesh ->
            RawClient(mesh.callerNode.egressAddress, receiveBufferBytes = SMALL_RECEIVE_BUFFER_BYTES).use { caller ->
                val keys = List(4) { "k$it" }
                keys.forEach { caller.send(request(it)) }
                awaitUntil { keys.all { mesh.runs.countsOf(it).started == 1 } }
                val stopped = CompletableFuture.runAsync { mesh.callerNode.closeGracefully(STOP_TIMEOUT_MS) }
                val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(sendingMs)
                while (System.nanoTime() < endNanos) {
                    Thread.sleep(SEND_PERIOD_MS)
                    caller.sendUnlessClosed(request("behind"))
                }
                expectThat(keys.map { caller.readCompleteOrNull() }) isEqualTo keys.map { 200 }
                stopped.join()
            }
        }
    }

    private fun request(key: String) =
        RawClient.request("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to key, BackendHeaders.RESPONSE_BYTES to "$RESPONSE_BYTES"))

    private fun RawClient.sendUnlessClosed(text: String) {
        try {
            send(text)
        } catch (_: IOException) {
            // The responses are read nevertheless.
        }
    }

    private fun RawClient.readCompleteOrNull(): Int? = runCatching { read() }.getOrNull()?.takeIf { it.isComplete }?.status

    private fun awaitUntil(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        while (!condition() && System.nanoTime() < endNanos) Thread.sleep(2)
        check(condition())
    }

    private companion object {
        const val SMALL_RECEIVE_BUFFER_BYTES = 8 * 1024
        const val RESPONSE_BYTES = 30_000
        const val SEND_PERIOD_MS = 50L
        const val STOP_TIMEOUT_MS = 8_000L
    }
}
