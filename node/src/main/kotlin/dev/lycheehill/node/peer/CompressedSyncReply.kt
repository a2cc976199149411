package dev.lycheehill.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Wire format of a [dev.lycheehill.fleet.store.SyncReply]. The configuration and the member records are encoded in CBOR and
 * compressed with deflate, because the network link of a small instance carries less than a megabyte per second.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class CompressedSyncReply(
    @SerialName("v") val version: Long,
    @SerialName("c") @ByteString val content: ByteArray? = null,
    @SerialName("m") @ByteString val members: ByteArray? = null,
)
