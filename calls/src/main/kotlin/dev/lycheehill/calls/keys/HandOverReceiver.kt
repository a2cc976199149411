package dev.lycheehill.calls.keys

/** Tracks the received parts of transfers until they are complete. Not thread-safe. */
internal class HandOverReceiver {
    private val transfers = LinkedHashMap<Transfer, HashSet<Int>>()

    /** Records [part]. Returns whether all parts of the transfer have now arrived. */
    fun add(part: HandOverPart): Boolean {
        val transfer = Transfer(part.domain, part.epoch, part.from, part.transferId)
        val received = transfers.getOrPut(transfer) { HashSet() }
        received += part.part
        val complete = received.size == part.parts
        if (complete) transfers.remove(transfer)
        // A transfer that the sender has given up never completes, so the oldest transfer is evicted.
        if (transfers.size > MAX_TRANSFERS) transfers.remove(transfers.keys.first())
        return complete
    }

    private data class Transfer(
        val domain: String,
        val epoch: Long,
        val from: HomeMember,
        val id: Long,
    )

    private companion object {
        const val MAX_TRANSFERS = 256
    }
}
