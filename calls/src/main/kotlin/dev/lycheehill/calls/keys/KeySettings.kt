package dev.lycheehill.calls.keys

/** Settings of keyed requests. */
data class KeySettings(
    /** Validity of a voucher on the clock of the home that asked. */
    val leaseMs: Long = 3_000,
    /** Added to the lease before a new home executes. Covers clocks that drift by 1% against each other. */
    val leaseMarginMs: Long = 500,
    val renewalPeriodMs: Long = 1_000,
    /** Time after the last keyed request of a domain for which vouchers are renewed. */
    val idleTimeoutMs: Long = 600_000,
    /** Largest difference between the wall clocks of two instances. */
    val maxClockSkewMs: Long = 2_000,
    /** A key that is further ahead of the home's wall clock is refused. */
    val maxKeyLeadMs: Long = 1_000,
    val horizonMs: Long = 24 * 3_600_000L,
    val maxKeys: Int = 300_000,
    val maxResponseBytes: Int = 4_096,
    val maxTotalResponseBytes: Int = 4_194_304,
    /** Epochs of a domain that a node remembers. */
    val maxEpochs: Int = 64,
) {
    /** A key may be this much newer than the activation of a home and yet have run at the home before. */
    val boundMarginMs: Long get() = maxClockSkewMs + maxKeyLeadMs
}
