package dev.lycheehill.config.snapshot

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Record of stream `snapshots`: one part of a snapshot.
 *
 * @property format number of the snapshot format.
 * @property position position of the snapshot.
 * @property index index of the part within the snapshot, from 0.
 * @property count number of parts of the snapshot.
 * @property checksum SHA-256 of the complete encoded snapshot, in hex digits; equal for all parts of one snapshot.
 * @property bytes bytes of the encoded snapshot that this part contains.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class SnapshotPart(
    val format: Int = SnapshotCodec.FORMAT,
    val position: SnapshotPosition,
    val index: Int,
    val count: Int,
    val checksum: String,
    @ByteString val bytes: ByteArray,
)
