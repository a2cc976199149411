package dev.lycheehill.platformlog.keyed

/**
 * One record of a keyed topic.
 *
 * @property value null when the record drops its key.
 */
class KeyedRecord(
    val offset: Long,
    val key: String,
    val value: ByteArray?,
)
