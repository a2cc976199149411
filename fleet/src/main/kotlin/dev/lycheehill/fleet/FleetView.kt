package dev.lycheehill.fleet

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.fleet.membership.Departure
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** What the data path and the operators' API of one node see of the fleet. Reads take no lock. */
interface FleetView {
    /** Record of this node. */
    val self: MemberRecord

    /** All known members by node id, with this node. */
    fun members(): Map<String, MemberRecord>

    /** Configuration that this node serves. Successive calls never return a lower version. */
    fun foldState(): FoldState

    /** Counts the nodes that serve [version] or a later one. */
    fun inForce(version: Long): InForceReport

    /** Publishes the state of this node's target; raises the incarnation when the state goes back to serving. */
    fun announce(
        state: MemberState,
        service: String = self.service,
        slots: Int = self.slots,
    )

    /** Keeps [departure] beyond a restart of this node, where the fleet has a place for it; null when the start has come back. */
    fun recordDeparture(departure: Departure?) = Unit
}
