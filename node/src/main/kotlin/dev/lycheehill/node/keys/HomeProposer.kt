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
 * The first epoch of a domain is proposed by each node that has received a request for the domain. A later epoch is proposed
 * by the `READY` home with the highest rendezvous rank. Concurrent proposals are harmless, because the log accepts only one
 * of them.
 *
 * @param mayPropose returns whether this node may propose the epoch after `currentEpoch` of a domain; 0 stands for none.
 */
internal class HomeProposer(
    private val selfId: String,
    private val mayPropose: (domain: String, currentEpoch: Long) -> Boolean,
) {
    private val pendingProposals = HashMap<String, PendingProposal>()

    /**
     * Returns the records to append to the log at [nowMs], a monotonic time in milliseconds. [requestedDomains] are domains
     * for which this node has received requests.
     */
    fun proposals(
        state: FoldState,
        members: Map<String, MemberRecord>,
        requestedDomains: Set<String>,
        nowMs: Long,
    ): List<HomeEpochRecord> {
        val ownDomains = state.homes.filterValues { homes -> homes.members.any { it.nodeId == selfId } }.keys
        val candidates = ownDomains + requestedDomains.filterNot { it in state.homes }
        pendingProposals.keys.retainAll(candidates)
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
            pendingProposals.remove(domain)
            return null
        }
        val proposal = pendingProposals.getOrPut(domain) { PendingProposal(nowMs) }
        if (nowMs - proposal.firstNeededMs < requiredStableMs(current, members) || nowMs < proposal.nextProposalMs) return null
        if (!mayPropose(domain, current?.epoch ?: 0)) return null
        proposal.nextProposalMs = nowMs + PROPOSAL_INTERVAL_MS
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

    // A draining home refuses new requests at once, so its keys move without a delay.
    private fun requiredStableMs(
        current: DomainHomes?,
        members: Map<String, MemberRecord>,
    ): Long = if (current == null || current.members.any { it.isDraining(members) }) 0 else MIN_STABLE_MS

    private fun HomeAssignment.isDraining(members: Map<String, MemberRecord>): Boolean =
        members[nodeId]?.let { it.bootId == bootId && it.state == MemberState.DRAINING } ?: false

    private class PendingProposal(
        val firstNeededMs: Long,
        var nextProposalMs: Long = 0,
    )

    private companion object {
        const val MIN_STABLE_MS = 2_000L

        // Covers the time until this node reads its own proposal back from the log.
        const val PROPOSAL_INTERVAL_MS = 2_000L
    }
}
