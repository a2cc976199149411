package dev.lycheehill.config.snapshot

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.log.Sha256
import dev.lycheehill.config.model.ContentHash
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Encodes snapshots as the records of stream `snapshots` and decodes them. A snapshot is split into several records. */
@OptIn(ExperimentalSerializationApi::class)
object SnapshotCodec {
    /** Number of the snapshot format that this release writes and reads. */
    const val FORMAT: Int = 1

    private const val CHUNK_BYTES = SnapshotLimits.MAX_PART_BYTES - SnapshotLimits.PART_HEADER_BYTES
    private val cbor = Cbor { encodeDefaults = true }

    /** Encodes [snapshot] as one payload for each part, in the order of the parts. Equal snapshots give equal bytes. */
    fun encode(snapshot: Snapshot): Either<SnapshotError, List<ByteArray>> {
        val encoded = cbor.encodeToByteArray(SnapshotBody.of(snapshot))
        val count = (encoded.size + CHUNK_BYTES - 1) / CHUNK_BYTES
        if (count > SnapshotLimits.MAX_PARTS) return SnapshotError.TOO_LARGE.left()
        val checksum = Sha256.hex(encoded)
        return List(count) { index ->
            cbor.encodeToByteArray(
                SnapshotPart(
                    position = snapshot.position,
                    index = index,
                    count = count,
                    checksum = checksum,
                    bytes = encoded.copyOfRange(index * CHUNK_BYTES, minOf((index + 1) * CHUNK_BYTES, encoded.size)),
                ),
            )
        }.right()
    }

    /** Decodes one part. Returns null when [payload] is not a valid part of this format; no exception is thrown. */
    fun decodePart(payload: ByteArray): SnapshotPart? {
        if (payload.size > SnapshotLimits.MAX_PART_BYTES) return null
        return runCatching { cbor.decodeFromByteArray<SnapshotPart>(payload) }.getOrNull()?.takeIf { it.isValid() }
    }

    /** Joins [parts], given in any order, to a snapshot. Rejects missing, additional, mixed and damaged parts. */
    fun join(parts: Collection<SnapshotPart>): Either<SnapshotError, Snapshot> {
        val first = parts.firstOrNull() ?: return SnapshotError.INCOMPLETE.left()
        val sorted = parts.sortedBy { it.index }
        return when {
            parts.any { it.checksum != first.checksum || it.count != first.count } -> SnapshotError.MIXED.left()
            sorted.map { it.index } != (0 until first.count).toList() -> SnapshotError.INCOMPLETE.left()
            else -> decodeBody(sorted, first)
        }
    }

    private fun decodeBody(
        sorted: List<SnapshotPart>,
        first: SnapshotPart,
    ): Either<SnapshotError, Snapshot> {
        val chunks = sorted.map { it.bytes }.toTypedArray()
        if (Sha256.hex(*chunks) != first.checksum) return SnapshotError.CORRUPT.left()
        return Either
            .catch { cbor.decodeFromByteArray<SnapshotBody>(concatenate(chunks)).toSnapshot() }
            .mapLeft { SnapshotError.CORRUPT }
            .flatMap { if (it.isConsistent(first.position)) it.right() else SnapshotError.INCONSISTENT.left() }
    }

    private fun concatenate(chunks: Array<ByteArray>): ByteArray {
        val encoded = ByteArray(chunks.sumOf { it.size })
        var position = 0
        chunks.forEach { chunk ->
            chunk.copyInto(encoded, position)
            position += chunk.size
        }
        return encoded
    }

    private fun SnapshotPart.isValid(): Boolean =
        format == FORMAT && count in 1..SnapshotLimits.MAX_PARTS && index in 0 until count && Sha256.isHash(checksum)

    private fun Snapshot.isConsistent(expected: SnapshotPosition): Boolean =
        position == expected &&
            state.version in 0..state.nextOffset &&
            Sha256.isHash(state.chainHash) &&
            state.contentHash == ContentHash.of(state.content) &&
            state.content.routes.values
                .all { route -> route.weights.keys.all(state.content.services::containsKey) }
}
