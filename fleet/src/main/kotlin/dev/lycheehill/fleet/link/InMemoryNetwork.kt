package dev.lycheehill.fleet.link

import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.message.MessageCodec
import dev.lycheehill.fleet.message.PeerMessage
import kotlin.random.Random

/**
 * Simulated network for tests, with delay, loss and partitions. Messages are encoded, so that sizes are the same as on a real link.
 *
 * Not thread-safe: all links run on the thread that advances [timers].
 *
 * @property delayMs shortest and longest delay of a message in milliseconds.
 * @property loss probability that a message is lost, 0..1.
 */
class InMemoryNetwork(
    private val timers: TimerService,
    private val random: Random,
    var delayMs: LongRange = 1L..2L,
    var loss: Double = 0.0,
) {
    private val links = HashMap<PeerAddress, InMemoryLink>()
    private val partOf = HashMap<PeerAddress, Int>()

    /** Hook that may replace a message in transit; null drops the message. */
    var tamper: (from: PeerAddress, to: PeerAddress, message: PeerMessage) -> PeerMessage? = { _, _, message -> message }

    /** Creates the link of the node at [address]. */
    fun link(address: PeerAddress): Link = InMemoryLink(this, address).also { links[address] = it }

    /** Partitions the network into [parts]. All addresses that are in no part form another part. */
    fun partition(vararg parts: Collection<PeerAddress>) {
        partOf.clear()
        parts.forEachIndexed { index, part -> part.forEach { partOf[it] = index + 1 } }
    }

    /** Ends the partition. */
    fun heal() = partOf.clear()

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
        if (random.nextDouble() < loss || isPartitioned(from, to)) return true
        timers.after(random.nextLong(delayMs.first, delayMs.last + 1)) {
            if (!isPartitioned(from, to)) links[to]?.receive(from, bytes)
        }
        return true
    }

    private fun isPartitioned(
        from: PeerAddress,
        to: PeerAddress,
    ): Boolean = partOf[from] != partOf[to]

    private companion object {
        const val FRAME_HEADER_BYTES = 4
    }
}
