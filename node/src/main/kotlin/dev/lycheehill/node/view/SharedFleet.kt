package dev.lycheehill.node.view

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.fleet.membership.MemberRecord

/** Members and configuration of a fleet whose nodes share one process and need no links between them. Thread-safe. */
class SharedFleet(
    content: ConfigContent = ConfigContent(),
) {
    @Volatile
    private var members: Map<String, MemberRecord> = emptyMap()

    /** Configuration that is in force on all nodes. */
    @Volatile
    var foldState: FoldState = FoldState(version = 1, content = content, contentHash = "", chainHash = "")

    /** Returns the current members; the map is immutable. */
    fun members(): Map<String, MemberRecord> = members

    /** Adds [record], or replaces the record of the same node. */
    @Synchronized
    fun put(record: MemberRecord) {
        members = members + (record.nodeId to record)
    }

    /** Replaces the record of [nodeId] with the result of [change]. Does nothing if there is no such record. */
    @Synchronized
    fun update(
        nodeId: String,
        change: (MemberRecord) -> MemberRecord,
    ) {
        members[nodeId]?.let { put(change(it)) }
    }
}
