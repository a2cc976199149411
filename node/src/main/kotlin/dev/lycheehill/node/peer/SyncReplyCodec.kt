package dev.lycheehill.node.peer

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.store.SyncReply
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.cbor.Cbor
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * Encodes and decodes [SyncReply]. The newest configuration is compressed once and reused for all nodes that request it. Used
 * on one thread.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class SyncReplyCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val memberListSerializer = ListSerializer(MemberRecord.serializer())
    private var compressedContent: ConfigContent? = null
    private var compressedBytes = ByteArray(0)

    fun encode(reply: SyncReply): ByteArray {
        val members = reply.members.takeIf { it.isNotEmpty() }?.let { compress(memberListSerializer, it) }
        return cbor.encodeToByteArray(
            CompressedSyncReply.serializer(),
            CompressedSyncReply(reply.version, reply.content?.let(::compressOnce), members),
        )
    }

    /**
     * Decodes a reply that [encode] has returned.
     *
     * @throws SerializationException if [bytes] are not a valid reply.
     */
    fun decode(bytes: ByteArray): SyncReply =
        try {
            parse(bytes)
        } catch (e: IllegalStateException) {
            // The CBOR decoder throws this exception when the bytes end early.
            throw SerializationException("truncated reply: ${e.message}", e)
        }

    private fun parse(bytes: ByteArray): SyncReply {
        val reply = cbor.decodeFromByteArray(CompressedSyncReply.serializer(), bytes)
        return SyncReply(
            version = reply.version,
            content = reply.content?.let { decompress(ConfigContent.serializer(), it) },
            members = reply.members?.let { decompress(memberListSerializer, it) }.orEmpty(),
        )
    }

    private fun compressOnce(content: ConfigContent): ByteArray {
        if (compressedContent !== content) {
            compressedBytes = compress(ConfigContent.serializer(), content)
            compressedContent = content
        }
        return compressedBytes
    }

    private fun <T> compress(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray {
        val bytes = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(bytes, deflater).use { it.write(cbor.encodeToByteArray(serializer, value)) }
        deflater.end()
        return bytes.toByteArray()
    }

    private fun <T> decompress(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T {
        val inflated =
            try {
                InflaterInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(MAX_INFLATED_BYTES + 1) }
            } catch (e: IOException) {
                throw SerializationException("cannot decompress reply: ${e.message}", e)
            }
        if (inflated.size > MAX_INFLATED_BYTES) throw SerializationException("inflated reply exceeds $MAX_INFLATED_BYTES bytes")
        return cbor.decodeFromByteArray(serializer, inflated)
    }

    private companion object {
        // Bounds the memory that a damaged reply can allocate; several times the size of the largest expected configuration.
        const val MAX_INFLATED_BYTES = 8 * 1024 * 1024
    }
}
