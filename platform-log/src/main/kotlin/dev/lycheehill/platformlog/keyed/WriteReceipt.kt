package dev.lycheehill.platformlog.keyed

/**
 * Acknowledgement of a write.
 *
 * @property offset offset of the written record.
 * @property epoch epoch of the store in which the record was written; [StoreEpoch.UNKNOWN] if the store reports none.
 */
data class WriteReceipt(
    val offset: Long,
    val epoch: Long,
)
