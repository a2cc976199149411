package dev.lycheehill.config.snapshot

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * One record of stream `snapshots`.
 *
 * @property position position of the snapshot.
 * @property index position of the part, from 0.
 * @property count number of parts of the snapshot.
 * @property checksum SHA-256 of the whole snapshot in hex digits; equal for the parts of one snapshot.
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
