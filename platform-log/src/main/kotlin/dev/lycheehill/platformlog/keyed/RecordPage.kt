package dev.lycheehill.platformlog.keyed

/**
 * Page of consecutive records of a topic.
 *
 * @property nextOffset offset at which the next read starts.
 * @property epoch epoch of the store in which the page was read; [StoreEpoch.UNKNOWN] if the store reports none.
 */
class RecordPage(
    val records: List<KeyedRecord>,
    val nextOffset: Long,
    val epoch: Long,
)
