package dev.lycheehill.platformlog.keyed

/**
 * Page of the newest records by key, in ascending order of keys.
 *
 * @property endOffset offset of the next record to be written to the topic, at the time when the page was read.
 * @property hasMore whether there are keys greater than the last key of the page.
 * @property epoch epoch of the store in which the page was read; [StoreEpoch.UNKNOWN] if the store reports none.
 */
class NewestPage(
    val records: List<KeyedRecord>,
    val endOffset: Long,
    val hasMore: Boolean,
    val epoch: Long,
)
