package dev.lycheehill.config.home

import kotlinx.serialization.Serializable

/**
 * Current home epoch of one key domain.
 *
 * @property previousMembers members of the epoch before; empty for the first one.
 */
@Serializable
data class DomainHomes(
    val epoch: Long,
    val members: List<HomeAssignment>,
    val previousMembers: List<HomeAssignment> = emptyList(),
    val reset: Boolean = false,
)
