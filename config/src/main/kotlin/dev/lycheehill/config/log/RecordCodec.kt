package dev.lycheehill.config.log

import dev.lycheehill.config.home.HomeLimits
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * CBOR form of the records of stream `config`.
 *
 * A record of format 1 with a missing, additional or wrong field is malformed for every release. A later release that
 * needs another field must use a higher format.
 */
@OptIn(ExperimentalSerializationApi::class)
object RecordCodec {
    /** Format that this release writes and reads. */
    const val FORMAT: Int = 1

    /** Longest payload that is decoded, in bytes. It leaves room for a patch of the permitted size and its header. */
    const val MAX_RECORD_BYTES: Int = 128 * 1024

    internal const val KIND_PATCH = "patch"
    internal const val KIND_FENCE = "fence"
    internal const val KIND_HOME_EPOCH = "home-epoch"

    private val strict = Cbor { encodeDefaults = true }
    private val lenient = Cbor { ignoreUnknownKeys = true }

    /** Encodes [record]. */
    fun encode(record: ConfigRecord): ByteArray =
        when (record) {
            is PatchRecord -> strict.encodeToByteArray(record)
            is FenceRecord -> strict.encodeToByteArray(record)
            is HomeEpochRecord -> strict.encodeToByteArray(record)
        }

    /** Decodes [payload]. Never throws. */
    fun decode(payload: ByteArray): DecodedRecord {
        if (payload.size > MAX_RECORD_BYTES) return DecodedRecord.Malformed("longer than $MAX_RECORD_BYTES bytes")
        return decodeOrNull(payload) ?: DecodedRecord.Malformed("not a CBOR record")
    }

    // The decoder reports hostile bytes by several unrelated exception types.
    private fun decodeOrNull(payload: ByteArray): DecodedRecord? =
        runCatching {
            val format = lenient.decodeFromByteArray<FormatHeader>(payload).format
            if (format == FORMAT) decodeFormat1(payload) else DecodedRecord.UnknownFormat(format)
        }.getOrNull()

    private fun decodeFormat1(payload: ByteArray): DecodedRecord =
        when (val kind = lenient.decodeFromByteArray<KindHeader>(payload).kind) {
            KIND_PATCH -> checked(strict.decodeFromByteArray<PatchRecord>(payload))
            KIND_FENCE -> checked(strict.decodeFromByteArray<FenceRecord>(payload))
            KIND_HOME_EPOCH -> checked(strict.decodeFromByteArray<HomeEpochRecord>(payload))
            else -> DecodedRecord.Malformed("unknown kind '${kind.take(MAX_QUOTED_CHARS)}'")
        }

    private fun checked(record: PatchRecord): DecodedRecord =
        when {
            record.baseVersion < 0 -> DecodedRecord.Malformed("negative base version")
            !Sha256.isHash(record.baseHash) -> DecodedRecord.Malformed("base hash is not a SHA-256 hash")
            record.patchId != record.expectedId() -> DecodedRecord.Malformed("patch id does not belong to the patch")
            else -> DecodedRecord.Known(record)
        }

    private fun checked(record: FenceRecord): DecodedRecord =
        if (PatchId.parse(record.patchId) == null) {
            DecodedRecord.Malformed("fence names no patch id")
        } else {
            DecodedRecord.Known(record)
        }

    private fun checked(record: HomeEpochRecord): DecodedRecord =
        when {
            record.domain.isEmpty() || record.domain.length > HomeLimits.MAX_DOMAIN_CHARS -> DecodedRecord.Malformed("bad domain name")
            record.members.size > HomeLimits.MAX_MEMBERS -> DecodedRecord.Malformed("more than ${HomeLimits.MAX_MEMBERS} members")
            record.members.any { it.weight < 0 } -> DecodedRecord.Malformed("negative weight")
            record.members.distinctBy { it.nodeId }.size < record.members.size -> DecodedRecord.Malformed("member named twice")
            else -> DecodedRecord.Known(record)
        }

    private fun PatchRecord.expectedId(): String = PatchId.of(baseVersion, baseHash, text).value

    private const val MAX_QUOTED_CHARS = 40

    @Serializable
    private data class FormatHeader(
        val format: Int,
    )

    @Serializable
    private data class KindHeader(
        val kind: String,
    )
}
