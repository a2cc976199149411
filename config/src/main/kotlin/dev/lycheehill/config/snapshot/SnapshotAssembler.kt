package dev.lycheehill.config.snapshot

import dev.lycheehill.config.log.LogEntry

/**
 * Collects the records of stream `snapshots` and keeps the newest whole snapshot.
 *
 * Parts of several writers may be interleaved. Unfinished snapshots are dropped when a newer one is whole, and only
 * [MAX_UNFINISHED] are held. Not thread-safe.
 */
class SnapshotAssembler {
    private val unfinished = LinkedHashMap<String, MutableMap<Int, SnapshotPart>>()

    /** The newest whole snapshot so far. */
    var newest: Snapshot? = null
        private set

    /** Number of records that were no part, or belonged to a snapshot that was refused. */
    var refusedRecords: Long = 0
        private set

    /**
     * Adds [entry]; returns the snapshot that it completed, unless that is older than [newest].
     *
     * A snapshot of the same position is returned again, so that the caller notices a periodic rewrite.
     */
    fun add(entry: LogEntry): Snapshot? {
        val part = SnapshotCodec.decodePart(entry.payload)
        if (part == null) refusedRecords++
        if (part == null || isOld(part)) return null
        val parts = unfinished.getOrPut(part.checksum) { mutableMapOf() }
        parts[part.index] = part
        evict()
        return if (parts.size >= part.count) complete(part.checksum, parts) else null
    }

    private fun complete(
        checksum: String,
        parts: Map<Int, SnapshotPart>,
    ): Snapshot? {
        unfinished.remove(checksum)
        return SnapshotCodec.join(parts.values).fold(
            ifLeft = {
                refusedRecords += parts.size
                null
            },
            ifRight = {
                newest = it
                unfinished.values.removeIf { other -> isOld(other.values.first()) }
                it
            },
        )
    }

    private fun evict() {
        while (unfinished.size > MAX_UNFINISHED) unfinished.remove(unfinished.keys.first())
    }

    private fun isOld(part: SnapshotPart): Boolean = newest.let { it != null && part.position < it.position }

    private companion object {
        const val MAX_UNFINISHED = 3
    }
}
