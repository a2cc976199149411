package dev.lycheehill.node.quarantine

import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.CrashQuarantine
import dev.lycheehill.calls.quarantine.SuccessEvidence
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.messenger.FleetMessenger
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** [EvidenceChannel] that broadcasts evidence to all nodes by gossip. */
@OptIn(ExperimentalSerializationApi::class)
class GossipEvidenceChannel(
    private val messenger: FleetMessenger,
) : EvidenceChannel {
    private val cbor = Cbor { useDefiniteLengthEncoding = true }

    override fun send(evidence: CrashEvidence) {
        messenger.broadcast(CRASH_TOPIC, cbor.encodeToByteArray(evidence))
    }

    override fun send(evidence: SuccessEvidence) {
        messenger.broadcast(SUCCESS_TOPIC, cbor.encodeToByteArray(evidence))
    }

    /** Passes the evidence of other nodes to [quarantine]. Messages that cannot be decoded are dropped. */
    fun deliverTo(
        quarantine: CrashQuarantine,
        timers: TimerService,
    ) {
        messenger.onBroadcast(CRASH_TOPIC) { bytes ->
            runCatching { cbor.decodeFromByteArray<CrashEvidence>(bytes) }.onSuccess { quarantine.onCrash(it, timers.wallMillis()) }
        }
        messenger.onBroadcast(SUCCESS_TOPIC) { bytes ->
            runCatching { cbor.decodeFromByteArray<SuccessEvidence>(bytes) }.onSuccess { quarantine.onSuccess(it, timers.wallMillis()) }
        }
    }

    private companion object {
        const val CRASH_TOPIC = "crash-evidence"
        const val SUCCESS_TOPIC = "success-evidence"
    }
}
