package dev.lycheehill.fleet.membership

/**
 * Queue of items to gossip, each a limited number of times. An item replaces an older item with the same key.
 *
 * New items come first, so that under a byte budget each item is sent once before other items are repeated.
 */
internal class GossipQueue<T>(
    private val sizeBytes: (T) -> Int,
) {
    private val current = HashMap<String, Entry<T>>()
    private val order = ArrayDeque<Entry<T>>()

    val size: Int get() = current.size

    fun add(
        key: String,
        item: T,
    ) {
        val entry = Entry(key, item)
        current[key] = entry
        order.addFirst(entry)
    }

    /** Returns items of at most [maxBytes] in total and counts them as sent. Each item is removed after [sendLimit] sends. */
    fun take(
        maxBytes: Int,
        sendLimit: Int,
    ): List<T> {
        val taken = ArrayList<Entry<T>>()
        var bytes = 0
        while (order.isNotEmpty()) {
            val entry = order.removeFirst()
            if (current[entry.key] !== entry) continue
            bytes += sizeBytes(entry.item)
            if (bytes > maxBytes) {
                order.addFirst(entry)
                break
            }
            taken += entry
        }
        taken.forEach { requeue(it, sendLimit) }
        return taken.map { it.item }
    }

    private fun requeue(
        entry: Entry<T>,
        sendLimit: Int,
    ) {
        entry.sends++
        if (entry.sends < sendLimit) order.addLast(entry) else current.remove(entry.key)
    }

    private class Entry<T>(
        val key: String,
        val item: T,
        var sends: Int = 0,
    )
}
