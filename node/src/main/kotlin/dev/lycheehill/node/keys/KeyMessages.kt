package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.HandOverPart
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Topics and CBOR encoding of the messages between the homes of keys. */
@OptIn(ExperimentalSerializationApi::class)
internal object KeyMessages {
    const val VOUCHER_TOPIC = "key-voucher"
    const val HAND_OVER_TOPIC = "key-hand-over"

    /** Response to a [HandOverPart] that was accepted. */
    val ACCEPTED = byteArrayOf(1)

    private val cbor = Cbor { useDefiniteLengthEncoding = true }

    fun encode(batch: VoucherBatch): ByteArray = cbor.encodeToByteArray(batch)

    fun encode(replies: VoucherReplies): ByteArray = cbor.encodeToByteArray(replies)

    fun encode(part: HandOverPart): ByteArray = cbor.encodeToByteArray(part)

    /** Decodes a batch of voucher requests. Returns null if [bytes] are not a valid batch. */
    fun decodeBatch(bytes: ByteArray): VoucherBatch? = runCatching { cbor.decodeFromByteArray<VoucherBatch>(bytes) }.getOrNull()

    /** Decodes replies to voucher requests. Returns null if [bytes] are not valid replies. */
    fun decodeReplies(bytes: ByteArray): VoucherReplies? = runCatching { cbor.decodeFromByteArray<VoucherReplies>(bytes) }.getOrNull()

    /** Decodes a part of a hand-over. Returns null if [bytes] are not a valid part. */
    fun decodePart(bytes: ByteArray): HandOverPart? = runCatching { cbor.decodeFromByteArray<HandOverPart>(bytes) }.getOrNull()
}
