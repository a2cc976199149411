package dev.lycheehill.node.quarantine

import arrow.core.Either
import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.CrashQuarantine
import dev.lycheehill.calls.quarantine.RequestFingerprint
import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.fleet.messenger.FleetMessenger
import dev.lycheehill.fleet.messenger.MessengerError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture

/** Guards against evidence that the other nodes cannot decode, because they drop such messages without an error. */
class GossipEvidenceChannelTest {
    private val timers = FakeTimerService()
    private val quarantine = CrashQuarantine()
    private val channel = GossipEvidenceChannel(LoopbackMessenger()).also { it.deliverTo(quarantine, timers) }
    private val fingerprint = RequestFingerprint.of("POST", "/orders", ByteArray(0))

    @Test
    fun `a request is quarantined after crash evidence from two other nodes`() {
        crashAt("node-1")
        expectThat(quarantine.isQuarantined(fingerprint, timers.wallMillis())).isFalse()
        crashAt("node-2")
        expectThat(quarantine.isQuarantined(fingerprint, timers.wallMillis())).isTrue()
    }

    @Test
    fun `messages that cannot be decoded are dropped`() {
        val messenger = LoopbackMessenger()
        GossipEvidenceChannel(messenger).deliverTo(quarantine, timers)
        messenger.broadcast("crash-evidence", byteArrayOf(1, 2, 3))
        expectThat(quarantine.isQuarantined(fingerprint, timers.wallMillis())).isFalse()
    }

    private fun crashAt(nodeId: String) = channel.send(CrashEvidence(fingerprint, nodeId, 1, timers.wallMillis()))

    private class LoopbackMessenger : FleetMessenger {
        private val handlers = HashMap<String, (ByteArray) -> Unit>()

        override fun broadcast(
            topic: String,
            bytes: ByteArray,
            expiresInMs: Long,
        ): Boolean {
            handlers.getValue(topic)(bytes)
            return true
        }

        override fun onBroadcast(
            topic: String,
            handler: (ByteArray) -> Unit,
        ) {
            handlers[topic] = handler
        }

        override fun request(
            nodeId: String,
            topic: String,
            bytes: ByteArray,
            timeoutMs: Long,
        ): CompletableFuture<Either<MessengerError, ByteArray>> = error("not used")

        override fun onRequest(
            topic: String,
            handler: (nodeId: String, bytes: ByteArray) -> ByteArray?,
        ) = error("not used")
    }
}
