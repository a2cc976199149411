package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.HandOverPart
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Topics and CBOR encoding of the messages between key homes. */
@OptIn(ExperimentalSerializationApi::class)
internal object KeyMessages {
    const val VOUCHER_TOPIC = "key-voucher"
    const val HAND_OVER_TOPIC = "key-hand-over"

    /** Answer to a hand-over part that was taken. */
    val TAKEN = byteArrayOf(1)

    private val cbor = Cbor { useDefiniteLengthEncoding = true }

    fun encode(batch: VoucherBatch): ByteArray = cbor.encodeToByteArray(batch)

    fun encode(replies: VoucherReplies): ByteArray = cbor.encodeToByteArray(replies)

    fun encode(part: HandOverPart): ByteArray = cbor.encodeToByteArray(part)

    /** Returns null when [bytes] are no batch. */
    fun batch(bytes: ByteArray): VoucherBatch? = runCatching { cbor.decodeFromByteArray<VoucherBatch>(bytes) }.getOrNull()

    /** Returns null when [bytes] are no replies. */
    fun replies(bytes: ByteArray): VoucherReplies? = runCatching { cbor.decodeFromByteArray<VoucherReplies>(bytes) }.getOrNull()

    /** Returns null when [bytes] are no part. */
    fun part(bytes: ByteArray): HandOverPart? = runCatching { cbor.decodeFromByteArray<HandOverPart>(bytes) }.getOrNull()
}
