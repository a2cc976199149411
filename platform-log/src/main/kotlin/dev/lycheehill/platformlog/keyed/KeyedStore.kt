package dev.lycheehill.platformlog.keyed

import arrow.core.Either

/**
 * Client of the platform's store, which keeps topics of keyed records. The store retains the newest record of each key and
 * may drop older records at any time (log compaction).
 *
 * The store may be restored from an older copy and then loses its latest records, also acknowledged ones. Each response names the epoch of
 * the store, which rises with each restore. An offset is valid only in the epoch in which it was received.
 *
 * Calls do not block. Each call invokes its listener exactly once, on the thread of the client.
 */
interface KeyedStore {
    /** Writes [value] under [key], or a tombstone that removes the key when [value] is null. The result is the receipt of the write. */
    fun put(
        topic: KeyedTopic,
        key: String,
        value: ByteArray?,
        listener: (Either<StoreError, WriteReceipt>) -> Unit,
    )

    /**
     * Reads the newest records of the keys greater than [after] in ascending order of keys; null means all keys.
     *
     * Successive pages are not a consistent snapshot, because records may be written between the reads.
     */
    fun readNewest(
        topic: KeyedTopic,
        after: String?,
        listener: (Either<StoreError, NewestPage>) -> Unit,
    )

    /** Reads records, starting at [fromOffset]. When there are none yet, the store waits up to [waitMs] milliseconds for the first. */
    fun read(
        topic: KeyedTopic,
        fromOffset: Long,
        waitMs: Long,
        listener: (Either<StoreError, RecordPage>) -> Unit,
    )
}
