package dev.lycheehill.fleet.dissemination

import dev.lycheehill.fleet.link.PeerAddress

/** Bounds the transfers that a node serves at a time. A transfer ends when it is released or has been idle for its hold time. */
internal class TransferLimiter(
    private val maxTransfers: Int = 4,
) {
    private val transfers = HashMap<PeerAddress, Long>()

    /** Transfers refused because too many others were running. */
    var refused: Long = 0
        private set

    /** Starts or continues the transfer to [peer]; returns whether it is admitted. */
    fun admit(
        peer: PeerAddress,
        nowMs: Long,
        holdMs: Long,
    ): Boolean {
        transfers.values.removeIf { it <= nowMs }
        if (peer !in transfers && transfers.size >= maxTransfers) {
            refused++
            return false
        }
        transfers[peer] = nowMs + holdMs
        return true
    }

    fun release(peer: PeerAddress) {
        transfers.remove(peer)
    }
}
