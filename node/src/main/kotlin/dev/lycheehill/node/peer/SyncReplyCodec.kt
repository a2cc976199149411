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

/** Writes and reads [SyncReply]. The newest configuration is packed once for all nodes that ask. Used on one thread. */
@OptIn(ExperimentalSerializationApi::class)
internal class SyncReplyCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val memberList = ListSerializer(MemberRecord.serializer())
    private var packedContent: ConfigContent? = null
    private var packed = ByteArray(0)

    fun encode(reply: SyncReply): ByteArray {
        val members = reply.members.takeIf { it.isNotEmpty() }?.let { pack(memberList, it) }
        return cbor.encodeToByteArray(
            CompressedSyncReply.serializer(),
            CompressedSyncReply(reply.version, reply.content?.let(::packOnce), members),
        )
    }

    /** @throws SerializationException if [bytes] are no reply. */
    fun decode(bytes: ByteArray): SyncReply =
        try {
            read(bytes)
        } catch (e: IllegalStateException) {
            // The decoder's word for bytes that end early.
            throw SerializationException("ends early: ${e.message}", e)
        }

    private fun read(bytes: ByteArray): SyncReply {
        val reply = cbor.decodeFromByteArray(CompressedSyncReply.serializer(), bytes)
        return SyncReply(
            version = reply.version,
            content = reply.content?.let { unpack(ConfigContent.serializer(), it) },
            members = reply.members?.let { unpack(memberList, it) }.orEmpty(),
        )
    }

    private fun packOnce(content: ConfigContent): ByteArray {
        if (packedContent !== content) {
            packed = pack(ConfigContent.serializer(), content)
            packedContent = content
        }
        return packed
    }

    private fun <T> pack(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray {
        val bytes = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(bytes, deflater).use { it.write(cbor.encodeToByteArray(serializer, value)) }
        deflater.end()
        return bytes.toByteArray()
    }

    private fun <T> unpack(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T {
        val plain =
            try {
                InflaterInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(MAX_PLAIN_BYTES + 1) }
            } catch (e: IOException) {
                throw SerializationException("not deflated: ${e.message}", e)
            }
        if (plain.size > MAX_PLAIN_BYTES) throw SerializationException("above $MAX_PLAIN_BYTES bytes")
        return cbor.decodeFromByteArray(serializer, plain)
    }

    private companion object {
        // Several times the configuration of the largest deployment; bounds what a damaged reply can allocate.
        const val MAX_PLAIN_BYTES = 8 * 1024 * 1024
    }
}
