package dev.lycheehill.platformlog.keyed

/**
 * Page of consecutive records of a topic.
 *
 * @property nextOffset offset at which the next read starts.
 */
class RecordPage(
    val records: List<KeyedRecord>,
    val nextOffset: Long,
)
