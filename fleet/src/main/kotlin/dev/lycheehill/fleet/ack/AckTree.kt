package dev.lycheehill.fleet.ack

import dev.lycheehill.fleet.InForceReport
import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.Membership
import dev.lycheehill.fleet.membership.ZoneRanking
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.ZoneSummary

/**
 * Aggregation tree that counts, for each zone, the versions in force on the nodes.
 *
 * The members of a zone form a tree by rank, and each node sends its parent a summary of its subtree. A summary counts only if its
 * sender used the same set of members as the receiver, so that no node is counted twice while the set changes. A node that has not
 * reported counts as lagging.
 */
internal class AckTree(
    private val membership: Membership,
    private val version: () -> Long,
    private val outbox: Outbox,
) {
    private val ranking = ZoneRanking(membership.table, "ack")
    private val childSummaries = HashMap<String, ReceivedSummary>()
    private val zoneSummaries = HashMap<String, ReceivedSummary>()
    private var nextReportMs = 0L
    private var lastSent: Pair<String, ZoneSummary>? = null
    private var lastSentMs = 0L
    private var pollUntilMs = 0L
    private var lastPolledMs = Long.MIN_VALUE / 2

    fun onTick(nowMs: Long) {
        if (nowMs < nextReportMs) return
        nextReportMs = nowMs + REPORT_PERIOD_MS
        report(nowMs)
        if (nowMs < pollUntilMs) pollRoots(nowMs)
    }

    /** Stores the summary of a child in the tree. */
    fun onAck(
        ack: PeerMessage.ZoneAck,
        nowMs: Long,
    ) {
        if (ack.summary.zone != membership.self.zone) return
        childSummaries[ack.nodeId] = ReceivedSummary(ack.summary, nowMs)
    }

    /** Answers with the summary of this node's subtree. */
    fun onStatusRequest(
        from: PeerAddress,
        nowMs: Long,
    ) = outbox.send(from, PeerMessage.ZoneStatus(summarize(nowMs)))

    /** Stores the summary of a whole zone. */
    fun onStatus(
        status: PeerMessage.ZoneStatus,
        nowMs: Long,
    ) {
        zoneSummaries[status.summary.zone] = ReceivedSummary(status.summary, nowMs)
    }

    /** Requests the summaries of all zones now, and periodically for [POLL_DURATION_MS]. */
    fun startPolling(nowMs: Long) {
        pollUntilMs = nowMs + POLL_DURATION_MS
        if (nowMs - lastPolledMs >= MIN_POLL_PERIOD_MS) pollRoots(nowMs)
    }

    /** Returns whether a summary of each zone with live members has arrived at or after [sinceMs]. */
    fun isFresh(sinceMs: Long): Boolean =
        membership.table.liveZones().all { zone -> zoneSummaries[zone]?.let { it.atMs >= sinceMs } == true }

    /** Reports on how many nodes [wantedVersion] is in force, according to summaries that are at most [STATUS_MAX_AGE_MS] old. */
    fun inForce(
        wantedVersion: Long,
        nowMs: Long,
    ): InForceReport {
        val reports = membership.table.liveZones().map { zoneInForce(it, wantedVersion, nowMs) }
        return InForceReport(
            version = wantedVersion,
            nodes = reports.sumOf { it.nodes },
            nodesInForce = reports.sumOf { it.nodesInForce },
            laggingZones = reports.flatMap { it.laggingZones }.toSet() + membership.table.lostZones(),
            laggingNodes = reports.flatMap { it.laggingNodes }.toSet(),
        )
    }

    private fun zoneInForce(
        zone: String,
        wantedVersion: Long,
        nowMs: Long,
    ): InForceReport {
        val live = membership.table.zoneMembers(zone).size
        val summary = zoneSummaries[zone]?.takeIf { nowMs - it.atMs <= STATUS_MAX_AGE_MS }?.summary
        val inForce = minOf(live, summary?.nodesAtLeast(wantedVersion) ?: 0)
        val complete = inForce == live && summary?.viewHash == membership.table.zoneHash(zone)
        return InForceReport(
            version = wantedVersion,
            nodes = live,
            nodesInForce = inForce,
            laggingZones = if (complete) emptySet() else setOf(zone),
            laggingNodes = if (inForce == live) emptySet() else summary?.lagging.orEmpty().toSet(),
        )
    }

    private fun report(nowMs: Long) {
        val self = membership.self
        val ranked = ranking.rank(self.zone)
        val position = ranked.indexOf(self.nodeId)
        val summary = summarize(nowMs)
        if (position == 0) zoneSummaries[self.zone] = ReceivedSummary(summary, nowMs)
        if (position <= 0) return
        val parent = ranked[(position - 1) / FANOUT]
        val message = parent to summary
        if (message == lastSent && nowMs - lastSentMs < REFRESH_MS) return
        lastSent = message
        lastSentMs = nowMs
        val address = membership.table.live[parent]?.controlAddress ?: return
        outbox.send(PeerAddress(address), PeerMessage.ZoneAck(self.nodeId, summary))
    }

    private fun pollRoots(nowMs: Long) {
        lastPolledMs = nowMs
        membership.table.liveZones().forEach { zone ->
            val root = ranking.rank(zone).firstOrNull()
            val record = root?.let(membership.table.live::get)
            when {
                record == null -> return@forEach
                root == membership.self.nodeId -> zoneSummaries[zone] = ReceivedSummary(summarize(nowMs), nowMs)
                else -> outbox.send(PeerAddress(record.controlAddress), PeerMessage.StatusRequest)
            }
        }
    }

    private fun summarize(nowMs: Long): ZoneSummary {
        val self = membership.self
        val viewHash = membership.table.zoneHash(self.zone)
        val ranked = ranking.rank(self.zone)
        val position = ranked.indexOf(self.nodeId)
        val expected = if (position < 0) emptyList() else ranked.drop(position * FANOUT + 1).take(FANOUT)
        childSummaries.keys.retainAll(expected.toSet())
        val reported = expected.associateWith { childSummaries[it]?.takeIf { received -> received.isValid(viewHash, nowMs) }?.summary }
        val summaries = reported.values.filterNotNull()
        val own = version()
        val counts =
            (summaries.flatMap { it.counts.entries }.map { it.toPair() } + (own to 1)).groupingBy { it.first }.fold(0) { n, e ->
                n +
                    e.second
            }
        val highest = counts.keys.max()
        val unreported = reported.filterValues { it == null }.keys
        val laggingSelf = if (own < highest) listOf(self.nodeId) else emptyList()
        val laggingDescendants =
            summaries.flatMap { childSummary ->
                childSummary.lagging.ifEmpty {
                    if (childSummary.lowest <
                        highest
                    ) {
                        listOf(reporterOf(reported, childSummary))
                    } else {
                        emptyList()
                    }
                }
            }
        return ZoneSummary(
            zone = self.zone,
            viewHash = viewHash,
            nodes = 1 + summaries.sumOf { it.nodes },
            lowest = minOf(own, summaries.minOfOrNull { it.lowest } ?: own),
            counts =
                counts
                    .toSortedMap(reverseOrder())
                    .entries
                    .take(MAX_VERSIONS)
                    .associate { it.toPair() },
            lagging = (laggingSelf + unreported + laggingDescendants).take(MAX_LAGGING),
        )
    }

    private fun reporterOf(
        reported: Map<String, ZoneSummary?>,
        childSummary: ZoneSummary,
    ): String = reported.entries.first { it.value === childSummary }.key

    private class ReceivedSummary(
        val summary: ZoneSummary,
        val atMs: Long,
    ) {
        fun isValid(
            viewHash: Int,
            nowMs: Long,
        ): Boolean = summary.viewHash == viewHash && nowMs - atMs <= CHILD_MAX_AGE_MS
    }

    private companion object {
        const val FANOUT = 16
        const val MAX_VERSIONS = 4
        const val MAX_LAGGING = 8
        const val REPORT_PERIOD_MS = 500L
        const val REFRESH_MS = 10_000L
        const val CHILD_MAX_AGE_MS = 30_000L
        const val STATUS_MAX_AGE_MS = 3_000L
        const val MIN_POLL_PERIOD_MS = 100L
        const val POLL_DURATION_MS = 30_000L
    }
}
