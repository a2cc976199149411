package dev.lycheehill.fleet.dissemination

import dev.lycheehill.fleet.link.PeerAddress

/**
 * Limit on the number of concurrent transfers that a node serves.
 *
 * A transfer ends when it is released, or when it has not been continued for its hold time.
 */
internal class TransferLimiter(
    private val maxTransfers: Int = 4,
) {
    private val transfers = HashMap<PeerAddress, Long>()

    /** Number of attempts to start a transfer that were refused. */
    var refused: Long = 0
        private set

    /** Starts or continues the transfer to [peer] for at most [holdMs], and returns whether the transfer is admitted. */
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

    /** Ends the transfer to [peer]. */
    fun release(peer: PeerAddress) {
        transfers.remove(peer)
    }
}
