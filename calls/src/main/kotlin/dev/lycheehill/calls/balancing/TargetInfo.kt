package dev.lycheehill.calls.balancing

/**
 * A target of a service, as listed in the endpoint table.
 *
 * @property id id of the node of the target; identifies the target when its other properties are updated.
 * @property zone availability zone of the target.
 * @property address address at which the node of the target accepts calls.
 * @property slots number of calls that the target can run concurrently.
 * @property weight relative share of calls; at least 0.
 * @property cold whether the target announced a cold start.
 * @property bootId id of the process of the target's node, new with each start. A new id means that the process has just started
 *   and is slow at first.
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
