package dev.lycheehill.fleet.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of stream `config` with the hash of the chain that ends with it, in hex digits. */
@Serializable
class WireRecord(
    @SerialName("o") val offset: Long,
    @SerialName("p") val payload: ByteArray,
    @SerialName("h") val chainHash: String,
)
