package dev.lycheehill.config.home

import kotlinx.serialization.Serializable

/**
 * Current home epoch of one key domain.
 *
 * @property epoch number of the epoch; the first epoch of a domain has number 1.
 * @property members homes of the keys of the domain in this epoch.
 * @property previousMembers members of the previous epoch; empty for the first epoch.
 * @property reset whether an operator stated that all members of earlier epochs have stopped.
 */
@Serializable
data class DomainHomes(
    val epoch: Long,
    val members: List<HomeAssignment>,
    val previousMembers: List<HomeAssignment> = emptyList(),
    val reset: Boolean = false,
)
