package dev.lycheehill.calls.keys

/**
 * One member of a home epoch.
 *
 * @property id name or address that at most one running process answers to.
 * @property bootId changes with each start of the process, because a restarted process has lost what it promised.
 * @property weight share of the keys; at least 0.
 */
data class HomeMember(
    val id: String,
    val bootId: Long,
    val weight: Int = 1,
)
