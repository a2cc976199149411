package dev.lycheehill.calls.keys

/**
 * Asks a member for a voucher and for the latest epoch it has seen.
 *
 * @property askedNanos monotonic time of the home, which the reply returns.
 * @property askedWallMs wall time of the home, which the reply returns.
 */
data class VoucherRequest(
    val domain: String,
    val epoch: Long,
    val homeId: String,
    val homeBootId: Long,
    val askedNanos: Long,
    val askedWallMs: Long,
)
