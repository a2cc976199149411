package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.platformlog.keyed.KeyedTopic

/** Change in what a node knows about the fleet or the store, reported to the decision log. */
sealed interface StoreFleetEvent {
    /** The configuration [version] from [source] took effect on this node. */
    data class ConfigurationInForce(
        val version: Long,
        val routes: Int,
        val source: String,
    ) : StoreFleetEvent

    /** This node has read the member records, including its own record from before a restart, if there is one. */
    data object MembersRead : StoreFleetEvent

    /** The departure in the record of an earlier process of this node has become known. */
    data object DepartureLearned : StoreFleetEvent

    /** The configuration record at [offset] cannot be decoded and is skipped. */
    data class ConfigurationUnreadable(
        val offset: Long,
        val reason: String,
    ) : StoreFleetEvent

    /** A newer [record] of another member was merged. */
    data class Member(
        val record: MemberRecord,
    ) : StoreFleetEvent

    /** The member record [key] is invalid and is skipped. */
    data class RecordUnreadable(
        val key: String,
        val reason: String,
    ) : StoreFleetEvent

    /** Calls to the store for [topic] started to fail. */
    data class StoreLost(
        val topic: KeyedTopic,
        val reason: String,
    ) : StoreFleetEvent

    /** Calls to the store for [topic] succeed again. */
    data class StoreRegained(
        val topic: KeyedTopic,
    ) : StoreFleetEvent

    /** The store was restored from an older copy and has started [epoch]. */
    data class StoreRestored(
        val epoch: Long,
    ) : StoreFleetEvent

    /** Writing the record of this node failed and is retried. */
    data class RecordNotWritten(
        val reason: String,
    ) : StoreFleetEvent

    /** The record of this node was written after [failures] failed attempts. */
    data class RecordWritten(
        val incarnation: Long,
        val failures: Int,
    ) : StoreFleetEvent
}
