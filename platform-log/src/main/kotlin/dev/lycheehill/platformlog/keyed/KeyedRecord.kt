package dev.lycheehill.platformlog.keyed

/**
 * Record of a keyed topic.
 *
 * @property value value of [key]; null for a tombstone, which removes the key.
 */
class KeyedRecord(
    val offset: Long,
    val key: String,
    val value: ByteArray?,
)
