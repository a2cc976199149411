package dev.lycheehill.node.routing

import dev.lycheehill.fleet.FleetView
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** Targets by service, rebuilt when the fleet's table of members has changed. Thread-safe. */
internal class EndpointIndex(
    private val fleet: FleetView,
) {
    @Volatile
    private var built = Built(emptyMap())

    /** Returns the targets of [service] that take calls. Suspected ones are listed only when there is no other. */
    fun targets(service: String): List<MemberRecord> = current().byService[service] ?: emptyList()

    private fun current(): Built {
        val members = fleet.members()
        val last = built
        if (last.members === members) return last
        return Built(members).also { built = it }
    }

    private class Built(
        val members: Map<String, MemberRecord>,
    ) {
        val byService: Map<String, List<MemberRecord>> =
            members.values
                .filter { it.service.isNotEmpty() && it.state <= MemberState.SUSPECT }
                .groupBy { it.service }
                .mapValues { (_, all) -> all.filter { it.state != MemberState.SUSPECT }.ifEmpty { all }.sortedBy { it.nodeId } }
    }
}
