package dev.lycheehill.calls.keys

/** Settings of keyed requests. */
data class KeySettings(
    /** Time for which a voucher is valid, on the clocks of the home that requested it. */
    val leaseMs: Long = 3_000,
    /** Time that a new home waits in addition to the lease before it executes. Covers clocks that drift by 1% against each other. */
    val leaseMarginMs: Long = 500,
    /** Period in which a home requests new vouchers. */
    val renewalPeriodMs: Long = 1_000,
    /** Time after the last keyed request of a domain during which vouchers for the domain are renewed. */
    val idleTimeoutMs: Long = 600_000,
    /** Maximum difference between the wall clocks of two instances. */
    val maxClockSkewMs: Long = 2_000,
    /** Maximum time by which a key may be ahead of the wall clock of the home. A key that is further ahead is refused. */
    val maxKeyLeadMs: Long = 1_000,
    /** Age up to which keys are accepted and recorded. */
    val horizonMs: Long = 24 * 3_600_000L,
    /** Maximum number of keys that a node records. */
    val maxKeys: Int = 300_000,
    /** Maximum size of a stored response. */
    val maxResponseBytes: Int = 4_096,
    /** Maximum size of all stored responses together. */
    val maxTotalResponseBytes: Int = 4_194_304,
    /** Maximum number of epochs of a domain that a node remembers. */
    val maxEpochs: Int = 64,
) {
    /** Maximum time by which a key that ran at the previous home can be newer than the activation of the new home. */
    val boundMarginMs: Long get() = maxClockSkewMs + maxKeyLeadMs
}
