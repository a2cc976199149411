package dev.lycheehill.platformlog.keyed

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right

/**
 * Client of [store] that reports the epoch of each response to [epochs] before the response is delivered, and replaces responses of
 * earlier epochs by [StoreError.Superseded].
 */
class EpochTrackingStore(
    private val store: KeyedStore,
    private val epochs: StoreEpochTracker,
) : KeyedStore {
    override fun put(
        topic: KeyedTopic,
        key: String,
        value: ByteArray?,
        listener: (Either<StoreError, WriteReceipt>) -> Unit,
    ) = store.put(topic, key, value) { listener(track(it, WriteReceipt::epoch)) }

    override fun readNewest(
        topic: KeyedTopic,
        after: String?,
        listener: (Either<StoreError, NewestPage>) -> Unit,
    ) = store.readNewest(topic, after) { listener(track(it, NewestPage::epoch)) }

    override fun read(
        topic: KeyedTopic,
        fromOffset: Long,
        waitMs: Long,
        listener: (Either<StoreError, RecordPage>) -> Unit,
    ) = store.read(topic, fromOffset, waitMs) { listener(track(it, RecordPage::epoch)) }

    private fun <T> track(
        result: Either<StoreError, T>,
        epochOf: (T) -> Long,
    ): Either<StoreError, T> =
        result.flatMap {
            val epoch = epochOf(it)
            if (epochs.observe(epoch)) it.right() else StoreError.Superseded("response of epoch $epoch in epoch ${epochs.current}").left()
        }
}
