package dev.lycheehill.platformlog.keyed

/**
 * Newest records of some keys.
 *
 * @property endOffset offset of the next record of the topic when the page was read.
 * @property hasMore whether keys behind the last one follow.
 */
class NewestPage(
    val records: List<KeyedRecord>,
    val endOffset: Long,
    val hasMore: Boolean,
)
