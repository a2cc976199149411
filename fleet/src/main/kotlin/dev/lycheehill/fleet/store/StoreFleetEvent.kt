package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.platformlog.keyed.KeyedTopic

/** Something that a node believes anew, for its log. */
sealed interface StoreFleetEvent {
    /** A configuration is in force on this node. */
    data class ConfigurationInForce(
        val version: Long,
        val routes: Int,
        val source: String,
    ) : StoreFleetEvent

    /** This node has read the members, and with them its own record of before its start. */
    data object MembersRead : StoreFleetEvent

    /** A configuration record cannot be read and is passed over. */
    data class ConfigurationUnreadable(
        val offset: Long,
        val reason: String,
    ) : StoreFleetEvent

    /** A record of another member is new. */
    data class Member(
        val record: MemberRecord,
    ) : StoreFleetEvent

    /** A member record at the store cannot be read and is passed over. */
    data class RecordUnreadable(
        val key: String,
        val reason: String,
    ) : StoreFleetEvent

    /** Calls about [topic] fail. */
    data class StoreLost(
        val topic: KeyedTopic,
        val reason: String,
    ) : StoreFleetEvent

    /** Calls about [topic] succeed again. */
    data class StoreRegained(
        val topic: KeyedTopic,
    ) : StoreFleetEvent

    /** The record of this node is not written yet and is written again. */
    data class RecordNotWritten(
        val reason: String,
    ) : StoreFleetEvent

    /** The record of this node is written after [failures] failed writes. */
    data class RecordWritten(
        val incarnation: Long,
        val failures: Int,
    ) : StoreFleetEvent
}
