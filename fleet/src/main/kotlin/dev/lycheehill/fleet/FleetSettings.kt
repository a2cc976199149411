package dev.lycheehill.fleet

import dev.lycheehill.fleet.dissemination.DisseminationSettings
import dev.lycheehill.fleet.membership.MembershipSettings

/**
 * Settings of a [FleetAgent].
 *
 * @property tickMs period of the control thread's timed work.
 * @property joinTimeoutMs a node whose seeds do not answer reads the log itself after this time.
 * @property leaveLingerMs time that a leaving node continues to gossip its leave.
 * @property inForceWaitMs longest time that [FleetView.inForce] waits for the zones' answers; 0 answers from what is known.
 */
data class FleetSettings(
    val membership: MembershipSettings = MembershipSettings(),
    val dissemination: DisseminationSettings = DisseminationSettings(),
    val tickMs: Long = 100,
    val joinTimeoutMs: Long = 3_000,
    val leaveLingerMs: Long = 500,
    val inForceWaitMs: Long = 1_000,
)
