package dev.lycheehill.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Form of a reply between nodes. Configuration and member records are CBOR, deflated, because a link of a small instance
 * carries less than a megabyte a second.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class CompressedSyncReply(
    @SerialName("v") val version: Long,
    @SerialName("c") @ByteString val content: ByteArray? = null,
    @SerialName("m") @ByteString val members: ByteArray? = null,
)
