package dev.lycheehill.fleet.membership

import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.dissemination.Backoff
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.toWire
import kotlin.random.Random

/** Requests the member table from random seeds, with jittered backoff, until one answers. */
internal class Joiner(
    private val membership: Membership,
    seeds: List<PeerAddress>,
    private val random: Random,
    private val outbox: Outbox,
) {
    private val seeds = seeds.filter { it != membership.address }
    private val backoff = Backoff(random)
    private var nextAttemptMs: Long? = null

    /** Whether a table was received or there are no seeds to ask. */
    var hasJoined: Boolean = this.seeds.isEmpty()
        private set

    fun onTick(nowMs: Long) {
        if (hasJoined) return
        val dueMs = nextAttemptMs ?: (nowMs + backoff.nextDelayMs()).also { nextAttemptMs = it }
        if (nowMs < dueMs) return
        nextAttemptMs = nowMs + MIN_RETRY_MS + backoff.nextDelayMs()
        outbox.send(seeds[random.nextInt(seeds.size)], PeerMessage.Join(membership.self.toWire()))
    }

    /** Records that a peer has sent its member table. */
    fun onAnswer() {
        hasJoined = true
    }

    /**
     * Returns the address of a seed or of a member that is gone, chosen at random, or null when there is neither.
     *
     * After a network partition, such an address may lead to the other side.
     */
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
        // Leaves time for an answer to arrive before the next seed is asked.
        const val MIN_RETRY_MS = 200L
    }
}
