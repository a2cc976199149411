package dev.lycheehill.calls.keys

/** Responses of keyed requests, bounded one by one and in all; the oldest make room. Not thread-safe. */
internal class StoredResponses(
    private val maxBytes: Int,
    private val maxTotalBytes: Int,
) {
    private val responses = LinkedHashMap<KeyHash, ByteArray>()
    private var totalBytes = 0

    fun get(key: KeyHash): ByteArray? = responses[key]

    /** Stores [response] unless it is too large. */
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
