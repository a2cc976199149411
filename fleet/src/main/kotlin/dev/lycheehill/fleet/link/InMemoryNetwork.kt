package dev.lycheehill.fleet.link

import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.message.MessageCodec
import dev.lycheehill.fleet.message.PeerMessage
import kotlin.random.Random

/**
 * Network of [InMemoryLink]s for tests, with delay, loss and partition. Messages are encoded, so sizes are those of a real link.
 *
 * Not thread-safe: all links run on the thread that advances [timers].
 *
 * @property delayMs least and greatest delay of a message in milliseconds.
 * @property loss share of the messages that are lost, 0..1.
 */
class InMemoryNetwork(
    private val timers: TimerService,
    private val random: Random,
    var delayMs: LongRange = 1L..2L,
    var loss: Double = 0.0,
) {
    private val links = HashMap<PeerAddress, InMemoryLink>()
    private val groups = HashMap<PeerAddress, Int>()

    /** Changes or drops a message on its way; null drops it. */
    var tamper: (from: PeerAddress, to: PeerAddress, message: PeerMessage) -> PeerMessage? = { _, _, message -> message }

    /** Creates the link of [address]. */
    fun link(address: PeerAddress): Link = InMemoryLink(this, address).also { links[address] = it }

    /** Cuts the network into [parts]; addresses in none of them form one more part. */
    fun partition(vararg parts: Collection<PeerAddress>) {
        groups.clear()
        parts.forEachIndexed { index, part -> part.forEach { groups[it] = index + 1 } }
    }

    /** Ends a partition. */
    fun heal() = groups.clear()

    internal fun remove(link: InMemoryLink) {
        links.remove(link.address, link)
    }

    internal fun deliver(
        from: PeerAddress,
        to: PeerAddress,
        message: PeerMessage,
    ): Boolean {
        val sent = tamper(from, to, message) ?: return true
        val bytes = MessageCodec.encode(sent)
        links[from]?.counters?.sent(bytes.size + FRAME_HEADER_BYTES)
        if (random.nextDouble() < loss || separated(from, to)) return true
        timers.after(random.nextLong(delayMs.first, delayMs.last + 1)) {
            if (!separated(from, to)) links[to]?.receive(from, bytes)
        }
        return true
    }

    private fun separated(
        from: PeerAddress,
        to: PeerAddress,
    ): Boolean = groups[from] != groups[to]

    private companion object {
        const val FRAME_HEADER_BYTES = 4
    }
}
