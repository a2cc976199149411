package dev.lycheehill.calls.keys

/** Stored responses of keyed requests. Bounds the size of each and of all; evicts the oldest responses. Not thread-safe. */
internal class StoredResponses(
    private val maxBytes: Int,
    private val maxTotalBytes: Int,
) {
    private val responses = LinkedHashMap<KeyHash, ByteArray>()
    private var totalBytes = 0

    /** Returns the response of [key], or null if none is stored. */
    fun get(key: KeyHash): ByteArray? = responses[key]

    /** Stores [response], unless it exceeds the maximum size of a response. */
    fun put(
        key: KeyHash,
        response: ByteArray,
    ) {
        if (response.size > maxBytes) return
        totalBytes += response.size - (responses.put(key, response)?.size ?: 0)
        val oldest = responses.entries.iterator()
        while (totalBytes > maxTotalBytes && oldest.hasNext()) {
            totalBytes -= oldest.next().value.size
            oldest.remove()
        }
    }
}
