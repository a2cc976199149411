package dev.lycheehill.fleet

import dev.lycheehill.fleet.dissemination.DisseminationSettings
import dev.lycheehill.fleet.membership.MembershipSettings

/**
 * Settings of a [FleetAgent].
 *
 * @property tickMs period of timed work on the control thread.
 * @property joinTimeoutMs time after which a node whose seeds do not answer may read the log.
 * @property leaveLingerMs time for which a leaving node continues to gossip that it leaves.
 * @property inForceWaitMs longest time that [FleetAgent.inForce] waits for the summaries of the zones; 0 to report what is known.
 */
data class FleetSettings(
    val membership: MembershipSettings = MembershipSettings(),
    val dissemination: DisseminationSettings = DisseminationSettings(),
    val tickMs: Long = 100,
    val joinTimeoutMs: Long = 3_000,
    val leaveLingerMs: Long = 500,
    val inForceWaitMs: Long = 1_000,
)
