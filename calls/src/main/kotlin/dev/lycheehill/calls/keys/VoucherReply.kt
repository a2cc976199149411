package dev.lycheehill.calls.keys

/**
 * Answer of a member. It gives no voucher for an epoch below [seenEpoch] any more.
 *
 * @property granted whether the member vouches for the epoch of the request.
 */
data class VoucherReply(
    val request: VoucherRequest,
    val memberId: String,
    val memberBootId: Long,
    val seenEpoch: Long,
    val granted: Boolean,
)
