package dev.lycheehill.calls.keys

/** Tells when all parts of a transfer have arrived. Not thread-safe. */
internal class HandOverReceiver {
    private val transfers = LinkedHashMap<Transfer, HashSet<Int>>()

    /** Records [part]. Returns whether it completes its transfer. */
    fun add(part: HandOverPart): Boolean {
        val transfer = Transfer(part.domain, part.epoch, part.from, part.transferId)
        val received = transfers.getOrPut(transfer) { HashSet() }
        received += part.part
        val complete = received.size == part.parts
        if (complete) transfers.remove(transfer)
        // Transfers that their sender gave up do not complete; the oldest make room.
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
