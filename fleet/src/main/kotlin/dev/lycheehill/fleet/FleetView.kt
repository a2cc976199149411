package dev.lycheehill.fleet

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.fleet.membership.Departure
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** View of the fleet for the data path and the local API of one node. Reads take no lock. */
interface FleetView {
    /** Member record of this node. */
    val self: MemberRecord

    /** Returns all known members by node id, including this node. */
    fun members(): Map<String, MemberRecord>

    /** Returns the state of the configuration in force on this node. The version never decreases. */
    fun foldState(): FoldState

    /** Counts the nodes on which [version] or a later one is in force. */
    fun inForce(version: Long): InForceReport

    /** Publishes the state, service and slots of this node's target. Raises the incarnation if needed to supersede the previous record. */
    fun announce(
        state: MemberState,
        service: String = self.service,
        slots: Int = self.slots,
    )

    /**
     * Stores [departure] so that it survives a restart of this node, if the fleet supports that.
     *
     * Null clears the stored departure when the instance reports again.
     */
    fun recordDeparture(departure: Departure?) = Unit
}
