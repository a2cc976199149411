package dev.lycheehill.calls.balancing

/**
 * A target as the endpoint table lists it.
 *
 * @property id node id of the target; stays the same over updates of the other properties.
 * @property slots calls that the target can run at a time.
 * @property weight relative share of calls; at least 0.
 * @property cold whether the target announced a cold start.
 * @property bootId changes with each start of the process of the target's node, which is slow at first.
 */
data class TargetInfo(
    val id: String,
    val zone: String,
    val address: String,
    val slots: Int,
    val weight: Int = 1,
    val cold: Boolean = false,
    val bootId: Long = 0,
)
