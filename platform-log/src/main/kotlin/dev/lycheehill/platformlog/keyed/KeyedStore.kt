package dev.lycheehill.platformlog.keyed

import arrow.core.Either

/**
 * Topics of keyed records at the platform's store. The newest record of each key is retained; older ones are dropped at
 * any time.
 *
 * Calls do not block. Each listener is called exactly once, on the thread of the store's client.
 */
interface KeyedStore {
    /** Writes [value] under [key], or drops the key when [value] is null. Gives the offset of the record. */
    fun put(
        topic: KeyedTopic,
        key: String,
        value: ByteArray?,
        listener: (Either<StoreError, Long>) -> Unit,
    )

    /** Reads the newest record of each key, in order of keys, beginning behind key [after]. Pages are not a snapshot. */
    fun readNewest(
        topic: KeyedTopic,
        after: String?,
        listener: (Either<StoreError, NewestPage>) -> Unit,
    )

    /** Reads the records from [fromOffset] on. If there are none yet, waits up to [waitMs]. */
    fun read(
        topic: KeyedTopic,
        fromOffset: Long,
        waitMs: Long,
        listener: (Either<StoreError, RecordPage>) -> Unit,
    )
}
