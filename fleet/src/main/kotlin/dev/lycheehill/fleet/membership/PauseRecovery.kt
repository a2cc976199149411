package dev.lycheehill.fleet.membership

import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage
import kotlin.random.Random

/**
 * Stops a node from serving after a pause of the process that is longer than the lease, until a peer answers.
 *
 * A node without peers resumes at once. If no peer answers within [MAX_WAIT_MS], the node counts as disconnected and resumes to serve its
 * own zone with the state that it has.
 */
internal class PauseRecovery(
    private val membership: Membership,
    leaseMs: Long,
    private val random: Random,
    private val outbox: Outbox,
    private val onServing: (Boolean) -> Unit,
) {
    private val detector = PauseDetector(leaseMs)
    private var sequence: Long? = null
    private var pausedAtMs = 0L
    private var nextPingMs = 0L

    /** Whether the node may serve. */
    val serving: Boolean get() = sequence == null

    /** Returns whether the process was paused between the previous tick and this one. */
    fun onTick(nowMs: Long): Boolean {
        val paused = detector.onTick(nowMs)
        if (paused) suspend(nowMs)
        if (!serving) pingPeers(nowMs)
        return paused
    }

    fun onAck(
        ack: PeerMessage.Ack,
        nowMs: Long,
    ) {
        if (ack.sequence == sequence) resume(nowMs)
    }

    private fun suspend(nowMs: Long) {
        sequence = random.nextLong(Long.MIN_VALUE, 0)
        pausedAtMs = nowMs
        nextPingMs = nowMs
        onServing(false)
        membership.raiseIncarnation(nowMs)
    }

    private fun pingPeers(nowMs: Long) {
        val peers = membership.randomPeers(PINGED_PEERS)
        if (peers.isEmpty() || nowMs - pausedAtMs >= MAX_WAIT_MS) return resume(nowMs)
        if (nowMs < nextPingMs) return
        nextPingMs = nowMs + PING_PERIOD_MS
        val ping = PeerMessage.Ping(checkNotNull(sequence), membership.piggyback(nowMs))
        peers.forEach { outbox.send(PeerAddress(it.controlAddress), ping) }
    }

    private fun resume(nowMs: Long) {
        sequence = null
        membership.raiseIncarnation(nowMs)
        onServing(true)
    }

    private companion object {
        const val PINGED_PEERS = 3
        const val PING_PERIOD_MS = 500L
        const val MAX_WAIT_MS = 5_000L
    }
}
