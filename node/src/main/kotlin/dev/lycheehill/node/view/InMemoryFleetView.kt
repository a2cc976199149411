package dev.lycheehill.node.view

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.fleet.FleetView
import dev.lycheehill.fleet.InForceReport
import dev.lycheehill.fleet.membership.Departure
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** [FleetView] of one node of a [SharedFleet]. */
class InMemoryFleetView(
    private val fleet: SharedFleet,
    private val nodeId: String,
) : FleetView {
    override val self: MemberRecord get() = fleet.members().getValue(nodeId)

    override fun members(): Map<String, MemberRecord> = fleet.members()

    override fun foldState(): FoldState = fleet.foldState

    override fun inForce(version: Long): InForceReport = InForceReport(version, fleet.members().size, fleet.members().size)

    override fun announce(
        state: MemberState,
        service: String,
        slots: Int,
    ) {
        fleet.update(nodeId) { it.copy(state = state, service = service, slots = slots, incarnation = it.incarnation + 1) }
    }

    override fun recordDeparture(departure: Departure?) = fleet.update(nodeId) { it.copy(departure = departure) }
}
