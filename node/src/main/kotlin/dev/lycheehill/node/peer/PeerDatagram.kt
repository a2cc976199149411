package dev.lycheehill.node.peer

import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.SuccessEvidence
import dev.lycheehill.fleet.store.PeerHeartbeat
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Datagram from one node to another; exactly one property is set. The names on the wire are short, because traffic between
 * zones is charged for.
 */
@Serializable
internal class PeerDatagram(
    @SerialName("b") val heartbeat: PeerHeartbeat? = null,
    @SerialName("c") val crash: CrashEvidence? = null,
    @SerialName("s") val success: SuccessEvidence? = null,
)
