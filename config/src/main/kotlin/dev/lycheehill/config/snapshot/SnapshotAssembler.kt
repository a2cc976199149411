package dev.lycheehill.config.snapshot

import dev.lycheehill.config.log.LogEntry

/**
 * Assembles snapshots from the records of stream `snapshots` and keeps the newest complete snapshot.
 *
 * Parts of several writers may be interleaved. An incomplete snapshot is dropped when a newer snapshot is complete, and at
 * most [MAX_INCOMPLETE] incomplete snapshots are kept. Not thread-safe.
 */
class SnapshotAssembler {
    private val incomplete = LinkedHashMap<String, MutableMap<Int, SnapshotPart>>()

    /** Newest complete snapshot so far; null when there is none. */
    var newest: Snapshot? = null
        private set

    /** Number of records that were not a valid part, or that belonged to a snapshot that was refused. */
    var refusedRecords: Long = 0
        private set

    /**
     * Adds [entry] and returns the snapshot that the entry completes. Returns null when the entry completes no snapshot, or
     * a snapshot that is older than [newest].
     *
     * A snapshot at the position of [newest] is returned again, so that the caller notices when a writer writes the same
     * snapshot periodically.
     */
    fun add(entry: LogEntry): Snapshot? {
        val part = SnapshotCodec.decodePart(entry.payload)
        if (part == null) refusedRecords++
        if (part == null || isOld(part)) return null
        val parts = incomplete.getOrPut(part.checksum) { mutableMapOf() }
        parts[part.index] = part
        evict()
        return if (parts.size >= part.count) complete(part.checksum, parts) else null
    }

    private fun complete(
        checksum: String,
        parts: Map<Int, SnapshotPart>,
    ): Snapshot? {
        incomplete.remove(checksum)
        return SnapshotCodec.join(parts.values).fold(
            ifLeft = {
                refusedRecords += parts.size
                null
            },
            ifRight = {
                newest = it
                incomplete.values.removeIf { other -> isOld(other.values.first()) }
                it
            },
        )
    }

    private fun evict() {
        while (incomplete.size > MAX_INCOMPLETE) incomplete.remove(incomplete.keys.first())
    }

    private fun isOld(part: SnapshotPart): Boolean = newest.let { it != null && part.position < it.position }

    private companion object {
        const val MAX_INCOMPLETE = 3
    }
}
