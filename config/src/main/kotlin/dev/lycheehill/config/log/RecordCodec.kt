package dev.lycheehill.config.log

import dev.lycheehill.config.home.HomeLimits
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Encodes and decodes the records of stream `config` in CBOR.
 *
 * Every release must treat a record of format 1 with a missing, additional or invalid field as malformed. A later release
 * that needs another field must therefore use a higher format.
 */
@OptIn(ExperimentalSerializationApi::class)
object RecordCodec {
    /** Number of the record format that this release writes and reads. */
    const val FORMAT: Int = 1

    /** Longest payload that is decoded, in bytes. The size has room for the longest permitted patch and its header. */
    const val MAX_RECORD_BYTES: Int = 128 * 1024

    internal const val KIND_PATCH = "patch"
    internal const val KIND_FENCE = "fence"
    internal const val KIND_HOME_EPOCH = "home-epoch"

    private val strict = Cbor { encodeDefaults = true }
    private val lenient = Cbor { ignoreUnknownKeys = true }

    /** Encodes [record] as the payload of a log entry. */
    fun encode(record: ConfigRecord): ByteArray =
        when (record) {
            is PatchRecord -> strict.encodeToByteArray(record)
            is FenceRecord -> strict.encodeToByteArray(record)
            is HomeEpochRecord -> strict.encodeToByteArray(record)
        }

    /** Decodes [payload]. Any bytes give a result; no exception is thrown. */
    fun decode(payload: ByteArray): DecodedRecord {
        if (payload.size > MAX_RECORD_BYTES) return DecodedRecord.Malformed("payload is longer than $MAX_RECORD_BYTES bytes")
        return decodeOrNull(payload) ?: DecodedRecord.Malformed("payload is not a CBOR record of the expected form")
    }

    // The CBOR decoder reports malformed bytes by several unrelated exception types.
    private fun decodeOrNull(payload: ByteArray): DecodedRecord? =
        runCatching {
            val format = lenient.decodeFromByteArray<FormatHeader>(payload).format
            if (format == FORMAT) decodeFormat1(payload) else DecodedRecord.UnknownFormat(format)
        }.getOrNull()

    private fun decodeFormat1(payload: ByteArray): DecodedRecord =
        when (val kind = lenient.decodeFromByteArray<KindHeader>(payload).kind) {
            KIND_PATCH -> validate(strict.decodeFromByteArray<PatchRecord>(payload))
            KIND_FENCE -> validate(strict.decodeFromByteArray<FenceRecord>(payload))
            KIND_HOME_EPOCH -> validate(strict.decodeFromByteArray<HomeEpochRecord>(payload))
            else -> DecodedRecord.Malformed("unknown kind of record '${kind.take(MAX_QUOTED_CHARS)}'")
        }

    private fun validate(record: PatchRecord): DecodedRecord =
        when {
            record.baseVersion < 0 -> DecodedRecord.Malformed("base version is negative")
            !Sha256.isHash(record.baseHash) -> DecodedRecord.Malformed("base hash is not a SHA-256 hash")
            record.patchId != record.expectedId() -> DecodedRecord.Malformed("patch id does not match the patch")
            else -> DecodedRecord.Known(record)
        }

    private fun validate(record: FenceRecord): DecodedRecord =
        if (PatchId.parse(record.patchId) == null) {
            DecodedRecord.Malformed("fence has an invalid patch id")
        } else {
            DecodedRecord.Known(record)
        }

    private fun validate(record: HomeEpochRecord): DecodedRecord =
        when {
            record.domain.isEmpty() || record.domain.length > HomeLimits.MAX_DOMAIN_CHARS -> DecodedRecord.Malformed("invalid domain name")
            record.members.size > HomeLimits.MAX_MEMBERS -> DecodedRecord.Malformed("more than ${HomeLimits.MAX_MEMBERS} members")
            record.members.any { it.weight < 0 } -> DecodedRecord.Malformed("weight of a member is negative")
            record.members.distinctBy { it.nodeId }.size < record.members.size -> DecodedRecord.Malformed("duplicate member")
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
