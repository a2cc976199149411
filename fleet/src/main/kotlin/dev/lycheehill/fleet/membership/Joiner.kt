package dev.lycheehill.fleet.membership

import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.dissemination.Backoff
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.toWire
import kotlin.random.Random

/** Asks the seeds for the membership table until one answers, with jittered backoff. */
internal class Joiner(
    private val membership: Membership,
    seeds: List<PeerAddress>,
    private val random: Random,
    private val outbox: Outbox,
) {
    private val seeds = seeds.filter { it != membership.address }
    private val backoff = Backoff(random)
    private var nextAttemptMs: Long? = null

    /** Whether a table was received, or there is nobody to ask. */
    var joined: Boolean = this.seeds.isEmpty()
        private set

    fun onTick(nowMs: Long) {
        if (joined) return
        val dueMs = nextAttemptMs ?: (nowMs + backoff.nextDelayMs()).also { nextAttemptMs = it }
        if (nowMs < dueMs) return
        nextAttemptMs = nowMs + MIN_RETRY_MS + backoff.nextDelayMs()
        outbox.send(seeds[random.nextInt(seeds.size)], PeerMessage.Join(membership.self.toWire()))
    }

    /** Records that a peer sent its table. */
    fun onAnswer() {
        joined = true
    }

    /** A seed, or the address of a member that was lost: where the other side of a partition may be found again. */
    fun randomLostPeer(): PeerAddress? {
        val lost =
            membership.table
                .randomGone(random)
                ?.controlAddress
                ?.let(::PeerAddress)
        val seed = seeds.takeIf { it.isNotEmpty() }?.random(random)
        return if (random.nextBoolean()) lost ?: seed else seed ?: lost
    }

    private companion object {
        // Time for an answer to arrive before the next seed is asked.
        const val MIN_RETRY_MS = 200L
    }
}
