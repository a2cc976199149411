package dev.lycheehill.platformlog.keyed

import arrow.core.Either
import arrow.core.right
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class EpochTrackingStoreTest {
    private val delayed = DelayedStore()
    private val store = EpochTrackingStore(delayed, StoreEpochTracker {})
    private val results = ArrayList<Either<StoreError, Any>>()

    /** Store whose responses are delivered by the test. */
    private class DelayedStore : KeyedStore {
        val writes = ArrayList<(Either<StoreError, WriteReceipt>) -> Unit>()
        val reads = ArrayList<(Either<StoreError, RecordPage>) -> Unit>()

        override fun put(
            topic: KeyedTopic,
            key: String,
            value: ByteArray?,
            listener: (Either<StoreError, WriteReceipt>) -> Unit,
        ) {
            writes.add(listener)
        }

        override fun readNewest(
            topic: KeyedTopic,
            after: String?,
            listener: (Either<StoreError, NewestPage>) -> Unit,
        ) = listener(NewestPage(records = emptyList(), endOffset = 0, hasMore = false, epoch = 2).right())

        override fun read(
            topic: KeyedTopic,
            fromOffset: Long,
            waitMs: Long,
            listener: (Either<StoreError, RecordPage>) -> Unit,
        ) {
            reads.add(listener)
        }
    }

    /** Guards against a late acknowledgement of a write that the restored store has lost. */
    @Test
    fun `late responses of an earlier epoch are errors`() {
        store.put(KeyedTopic.MEMBERS, "n", byteArrayOf(1)) { results.add(it) }
        store.read(KeyedTopic.MEMBERS, fromOffset = 0, waitMs = 0) { results.add(it) }
        store.readNewest(KeyedTopic.MEMBERS, after = null) {}
        delayed.writes.single()(WriteReceipt(offset = 3, epoch = 1).right())
        delayed.reads.single()(RecordPage(records = emptyList(), nextOffset = 3, epoch = 1).right())
        expectThat(results.size) isEqualTo 2
        results.forEach { expectThat(it.leftOrNull()).isA<StoreError.Superseded>() }
    }

    /** Guards against refusing responses of the current epoch. */
    @Test
    fun `responses of the current epoch are delivered`() {
        store.readNewest(KeyedTopic.MEMBERS, after = null) { results.add(it) }
        store.put(KeyedTopic.MEMBERS, "n", byteArrayOf(1)) { results.add(it) }
        delayed.writes.single()(WriteReceipt(offset = 3, epoch = 2).right())
        results.forEach { expectThat(it.leftOrNull()).isNull() }
    }
}
