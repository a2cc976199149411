package dev.lycheehill.platformlog.keyed

/**
 * Successive records of a topic.
 *
 * @property nextOffset offset from which the next read continues.
 */
class RecordPage(
    val records: List<KeyedRecord>,
    val nextOffset: Long,
)
