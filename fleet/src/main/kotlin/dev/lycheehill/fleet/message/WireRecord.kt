package dev.lycheehill.fleet.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Record of stream `config` with the hexadecimal chain hash up to and including the record. */
@Serializable
class WireRecord(
    @SerialName("o") val offset: Long,
    @SerialName("p") val payload: ByteArray,
    @SerialName("h") val chainHash: String,
)
