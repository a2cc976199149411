package dev.lycheehill.node.keys

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.home.DomainHomes
import dev.lycheehill.config.home.HomeAssignment
import dev.lycheehill.config.log.HomeEpochRecord
import dev.lycheehill.core.hash.Rendezvous
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/**
 * Decides which home epochs this node proposes. Not thread-safe.
 *
 * The first epoch of a domain is proposed by any node that was asked for it, a later one by the live member with the
 * highest rank. Two proposals are harmless, since the log accepts one of them.
 */
internal class HomeProposer(
    private val selfId: String,
    private val mayPropose: (domain: String, currentEpoch: Long) -> Boolean,
) {
    private val pending = HashMap<String, Pending>()

    /** Returns the records to append at [nowMs]. [wanted] are domains that were asked for and have no homes. */
    fun proposals(
        state: FoldState,
        members: Map<String, MemberRecord>,
        wanted: Set<String>,
        nowMs: Long,
    ): List<HomeEpochRecord> {
        val known = state.homes.filterValues { homes -> homes.members.any { it.nodeId == selfId } }.keys
        val candidates = known + wanted.filterNot { it in state.homes }
        pending.keys.retainAll(candidates)
        return candidates.mapNotNull { propose(it, state, members, nowMs) }
    }

    private fun propose(
        domain: String,
        state: FoldState,
        members: Map<String, MemberRecord>,
        nowMs: Long,
    ): HomeEpochRecord? {
        val current = state.homes[domain]
        val planned = HomePlanner.plan(domain, state.content, members.values)
        val isNeeded = planned.isNotEmpty() && planned.toSet() != current?.members?.toSet()
        if (!isNeeded || current != null && !isProposer(domain, current, members)) {
            pending.remove(domain)
            return null
        }
        val since = pending.getOrPut(domain) { Pending(nowMs) }
        if (nowMs - since.sinceMs < stableMs(current, members) || nowMs < since.nextMs) return null
        if (!mayPropose(domain, current?.epoch ?: 0)) return null
        since.nextMs = nowMs + REPEAT_MS
        return HomeEpochRecord(domain = domain, previousEpoch = current?.epoch ?: 0, members = planned)
    }

    private fun isProposer(
        domain: String,
        current: DomainHomes,
        members: Map<String, MemberRecord>,
    ): Boolean {
        val live = current.members.map { it.nodeId }.filter { members[it]?.state == MemberState.READY }
        return Rendezvous.rank(domain, live).firstOrNull() == selfId
    }

    // A draining home refuses new work at once, so its keys should move without a delay.
    private fun stableMs(
        current: DomainHomes?,
        members: Map<String, MemberRecord>,
    ): Long = if (current == null || current.members.any { it.isDraining(members) }) 0 else STABLE_MS

    private fun HomeAssignment.isDraining(members: Map<String, MemberRecord>): Boolean =
        members[nodeId]?.let { it.bootId == bootId && it.state == MemberState.DRAINING } ?: false

    private class Pending(
        val sinceMs: Long,
        var nextMs: Long = 0,
    )

    private companion object {
        const val STABLE_MS = 2_000L

        // Time for an appended proposal to come back by the log.
        const val REPEAT_MS = 2_000L
    }
}
