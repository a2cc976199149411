package dev.lycheehill.calls.keys

import kotlinx.serialization.Serializable

/**
 * A member of a [HomeEpoch].
 *
 * @property id name or address that at most one running process uses.
 * @property bootId id of the process, new with each start, because a restarted process has lost the vouchers that it granted.
 * @property weight relative share of the keys; at least 0.
 */
@Serializable
data class HomeMember(
    val id: String,
    val bootId: Long,
    val weight: Int = 1,
)
