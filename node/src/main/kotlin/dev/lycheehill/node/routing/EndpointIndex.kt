package dev.lycheehill.node.routing

import dev.lycheehill.fleet.FleetView
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** Index of the targets by service. The index is rebuilt when the member table of the fleet has changed. Thread-safe. */
internal class EndpointIndex(
    private val fleet: FleetView,
) {
    @Volatile
    private var snapshot = Snapshot(emptyMap())

    /** Returns the targets of [service] that accept calls. Targets in state `SUSPECT` are returned only if there are no others. */
    fun targets(service: String): List<MemberRecord> = current().byService[service] ?: emptyList()

    private fun current(): Snapshot {
        val members = fleet.members()
        val previous = snapshot
        if (previous.members === members) return previous
        return Snapshot(members).also { snapshot = it }
    }

    private class Snapshot(
        val members: Map<String, MemberRecord>,
    ) {
        val byService: Map<String, List<MemberRecord>> =
            members.values
                .filter { it.service.isNotEmpty() && it.state <= MemberState.SUSPECT }
                .groupBy { it.service }
                .mapValues { (_, all) -> all.filter { it.state != MemberState.SUSPECT }.ifEmpty { all }.sortedBy { it.nodeId } }
    }
}
