package dev.lycheehill.fleet.membership

/**
 * Settings of [Membership] and of the [FailureDetector]. Section 4.1 of the design page specifies the defaults.
 *
 * @property probePeriodMs period in which the failure detector probes one member.
 * @property probeTimeoutMs time without an answer after which a probe is repeated through other members.
 * @property indirectProbes number of members that are asked to probe a member that does not answer.
 * @property suspicionMs time after which a suspected member is declared gone.
 * @property goneRetentionMs time for which tombstones of gone members are retained.
 * @property leaseMs longest pause of the process after which the node continues to serve without an answer from a peer.
 * @property gossipPeriodMs period of gossip messages.
 * @property gossipFanout gossip messages per period.
 * @property gossipBytesPerSecond limit of the bytes sent by gossip, including records added to other messages.
 * @property digestPeriodMs period in which the node sends a digest of its state to one peer.
 */
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
