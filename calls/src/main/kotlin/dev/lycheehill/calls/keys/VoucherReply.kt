package dev.lycheehill.calls.keys

import kotlinx.serialization.Serializable

/**
 * Reply of a member to a [VoucherRequest]. The member grants no more vouchers for epochs before [seenEpoch].
 *
 * @property request the request, returned unchanged.
 * @property memberId id of the member that replies.
 * @property memberBootId boot id of the member that replies.
 * @property seenEpoch number of the latest epoch that the member has seen; 0 if it has seen none.
 * @property granted whether the member vouches for the epoch of the request.
 */
@Serializable
data class VoucherReply(
    val request: VoucherRequest,
    val memberId: String,
    val memberBootId: Long,
    val seenEpoch: Long,
    val granted: Boolean,
)
