package dev.lycheehill.fleet.dissemination

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.ChainHash
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.fleet.message.WireRecord

/**
 * Fold state of one node and the most recent records that led to the state. The version and the next offset never decrease.
 *
 * Confined to one thread, except that [state] may be read by any thread.
 */
internal class FoldStore(
    initial: FoldState,
    private val fold: (FoldState, LogEntry) -> FoldState,
    private val maxTailRecords: Int = 1_024,
    private val maxTailBytes: Int = 2_097_152,
) {
    /** Current state. */
    @Volatile
    var state: FoldState = initial
        private set

    private val tail = ArrayDeque<WireRecord>()
    private var tailBytes = 0

    /** Appends [entry]. [chainHash] is the chain hash that the sender claims, or null for a record from the log. */
    fun append(
        entry: LogEntry,
        chainHash: String? = null,
    ): AppendResult {
        val current = state
        return when {
            entry.offset < current.nextOffset -> if (contradicts(entry)) AppendResult.DIFFERENT else AppendResult.KNOWN
            entry.offset > current.nextOffset -> AppendResult.GAP
            current.stoppedReason != null -> AppendResult.STOPPED
            chainHash != null && chainHash != ChainHash.next(current.chainHash, entry) -> AppendResult.CHAIN_MISMATCH
            else -> extend(fold(current, entry), entry)
        }
    }

    /** Replaces the state by [snapshot] if the snapshot is newer, and returns whether it was. */
    fun replace(snapshot: FoldState): Boolean {
        val current = state
        if (snapshot.version < current.version || snapshot.nextOffset <= current.nextOffset) return false
        state = snapshot
        tail.clear()
        tailBytes = 0
        return true
    }

    /** Returns the chain hash of the records below [nextOffset], or null when the last of them is not held. */
    fun chainAt(nextOffset: Long): String? = if (nextOffset == state.nextOffset) state.chainHash else recordAt(nextOffset - 1)?.chainHash

    /** Returns the record at [offset], or null when it is not held. */
    fun recordAt(offset: Long): WireRecord? {
        val first = tail.firstOrNull()?.offset ?: return null
        return tail.getOrNull((offset - first).toInt())
    }

    /** Returns up to [limit] records from [offset] on, or null when the first of them is no longer held. */
    fun recordsFrom(
        offset: Long,
        limit: Int,
    ): List<WireRecord>? {
        val first = tail.firstOrNull()?.offset ?: return null
        if (offset < first) return null
        return tail.drop((offset - first).toInt()).take(limit)
    }

    /** Returns whether a record with a different payload is held at the offset of [entry]. */
    fun contradicts(entry: LogEntry): Boolean = recordAt(entry.offset)?.payload?.contentEquals(entry.payload) == false

    // A fold that stops at a record keeps its next offset, and its state contains the reason.
    private fun extend(
        next: FoldState,
        entry: LogEntry,
    ): AppendResult {
        check(next.version >= state.version) { "fold lowered the version from ${state.version} to ${next.version}" }
        state = next
        if (next.nextOffset == entry.offset) return AppendResult.STOPPED
        retain(WireRecord(entry.offset, entry.payload, next.chainHash))
        return AppendResult.EXTENDED
    }

    private fun retain(record: WireRecord) {
        tail.addLast(record)
        tailBytes += record.payload.size
        while (tail.size > maxTailRecords || (tailBytes > maxTailBytes && tail.size > 1)) {
            tailBytes -= tail.removeFirst().payload.size
        }
    }
}

/** Returns the first 64 bits of a hexadecimal chain hash, which identify a chain in announcements. Records carry the whole hash. */
internal fun chainPrefix(chainHash: String): Long = chainHash.take(16).toULongOrNull(16)?.toLong() ?: 0
