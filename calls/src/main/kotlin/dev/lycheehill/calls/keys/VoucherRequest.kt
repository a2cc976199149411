package dev.lycheehill.calls.keys

import kotlinx.serialization.Serializable

/**
 * Request of a home for a voucher of another member and for the latest epoch that the member has seen.
 *
 * @property epoch number of the epoch for which the voucher is requested.
 * @property homeId id of the home.
 * @property homeBootId boot id of the home.
 * @property askedNanos time of the request on the monotonic clock of the home, in nanoseconds. The reply returns it.
 * @property askedWallMs time of the request on the wall clock of the home, in milliseconds. The reply returns it.
 */
@Serializable
data class VoucherRequest(
    val domain: String,
    val epoch: Long,
    val homeId: String,
    val homeBootId: Long,
    val askedNanos: Long,
    val askedWallMs: Long,
)
