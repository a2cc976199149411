package dev.lycheehill.fleet.membership

/** Times and limits of membership. The defaults are those of the design page, section 4.1. */
data class MembershipSettings(
    val probePeriodMs: Long = 1_000,
    val probeTimeoutMs: Long = 400,
    val indirectProbes: Int = 3,
    val suspicionMs: Long = 4_000,
    val goneRetentionMs: Long = 600_000,
    val leaseMs: Long = 5_000,
    val gossipPeriodMs: Long = 200,
    val gossipFanout: Int = 3,
    val gossipBytesPerSecond: Int = 8_192,
    val digestPeriodMs: Long = 1_000,
)
