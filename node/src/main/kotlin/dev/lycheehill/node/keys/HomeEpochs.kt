package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.HomeEpoch
import dev.lycheehill.calls.keys.HomeMember
import dev.lycheehill.config.home.DomainHomes
import dev.lycheehill.config.home.HomeAssignment

/** Converts the current homes of [domain] to the form that decisions about keys use. */
internal fun DomainHomes.toEpoch(domain: String): HomeEpoch =
    HomeEpoch(
        domain = domain,
        number = epoch,
        members = members.map { it.toMember() },
        previousMembers = previousMembers.map { it.toMember() },
        reset = reset,
    )

private fun HomeAssignment.toMember(): HomeMember = HomeMember(nodeId, bootId, weight)
