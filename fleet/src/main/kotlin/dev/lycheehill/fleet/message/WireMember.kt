package dev.lycheehill.fleet.message

import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** [MemberRecord] as sent between nodes. Field names on the wire are short because gossip repeats them in each record. */
@Serializable
data class WireMember(
    @SerialName("n") val nodeId: String,
    @SerialName("i") val incarnation: Long,
    @SerialName("s") val state: Int,
    @SerialName("z") val zone: String,
    @SerialName("r") val region: String,
    @SerialName("v") val service: String = "",
    @SerialName("c") val controlAddress: String,
    @SerialName("d") val dataAddress: String,
    @SerialName("l") val slots: Int = 0,
    @SerialName("b") val bootId: Long = 0,
) {
    /** Estimated encoded size in bytes, used for byte budgets. */
    val sizeBytes: Int
        get() = FIXED_BYTES + nodeId.length + zone.length + region.length + service.length + controlAddress.length + dataAddress.length

    /** Returns the record, or null when this release does not know the state. */
    fun toRecord(): MemberRecord? =
        MemberState.entries.getOrNull(state)?.let {
            MemberRecord(nodeId, incarnation, it, zone, region, service, controlAddress, dataAddress, slots, bootId)
        }

    private companion object {
        const val FIXED_BYTES = 49
    }
}

/** Returns this record in the form that is sent between nodes. */
fun MemberRecord.toWire(): WireMember =
    WireMember(nodeId, incarnation, state.ordinal, zone, region, service, controlAddress, dataAddress, slots, bootId)
