package dev.lycheehill.fleet.ack

import dev.lycheehill.fleet.InForceReport
import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.Membership
import dev.lycheehill.fleet.membership.ZoneRanking
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.ZoneSummary

/**
 * Sums up, zone by zone, which versions are in force.
 *
 * The members of a zone form a tree by rank. A summary counts only if its sender used the same set of members, so that
 * no node is counted twice while the set changes. A node that has not reported counts as lagging.
 */
internal class AckTree(
    private val membership: Membership,
    private val version: () -> Long,
    private val outbox: Outbox,
) {
    private val ranking = ZoneRanking(membership.table, "ack")
    private val children = HashMap<String, Held>()
    private val zones = HashMap<String, Held>()
    private var nextReportMs = 0L
    private var lastSent: Pair<String, ZoneSummary>? = null
    private var lastSentMs = 0L
    private var interestUntilMs = 0L
    private var askedMs = Long.MIN_VALUE / 2

    fun onTick(nowMs: Long) {
        if (nowMs < nextReportMs) return
        nextReportMs = nowMs + REPORT_PERIOD_MS
        report(nowMs)
        if (nowMs < interestUntilMs) askRoots(nowMs)
    }

    fun onAck(
        ack: PeerMessage.ZoneAck,
        nowMs: Long,
    ) {
        if (ack.summary.zone != membership.self.zone) return
        children[ack.nodeId] = Held(ack.summary, nowMs)
    }

    fun onStatusRequest(
        from: PeerAddress,
        nowMs: Long,
    ) = outbox.send(from, PeerMessage.ZoneStatus(summarize(nowMs)))

    fun onStatus(
        status: PeerMessage.ZoneStatus,
        nowMs: Long,
    ) {
        zones[status.summary.zone] = Held(status.summary, nowMs)
    }

    /** Asks the roots of all zones for their summaries now and for some time on. */
    fun showInterest(nowMs: Long) {
        interestUntilMs = nowMs + INTEREST_MS
        if (nowMs - askedMs >= MIN_ASK_PERIOD_MS) askRoots(nowMs)
    }

    /** Whether each zone with live members has answered at or after [sinceMs]. */
    fun isFresh(sinceMs: Long): Boolean = membership.table.liveZones().all { zone -> zones[zone]?.let { it.atMs >= sinceMs } == true }

    /** Reports what is known of [wanted] from summaries that are at most [STATUS_VALID_MS] old. */
    fun inForce(
        wanted: Long,
        nowMs: Long,
    ): InForceReport {
        val reports = membership.table.liveZones().map { zoneInForce(it, wanted, nowMs) }
        return InForceReport(
            version = wanted,
            nodes = reports.sumOf { it.nodes },
            nodesInForce = reports.sumOf { it.nodesInForce },
            laggingZones = reports.flatMap { it.laggingZones }.toSet() + membership.table.lostZones(),
            laggingNodes = reports.flatMap { it.laggingNodes }.toSet(),
        )
    }

    private fun zoneInForce(
        zone: String,
        wanted: Long,
        nowMs: Long,
    ): InForceReport {
        val live = membership.table.zoneMembers(zone).size
        val summary = zones[zone]?.takeIf { nowMs - it.atMs <= STATUS_VALID_MS }?.summary
        val inForce = minOf(live, summary?.nodesAtLeast(wanted) ?: 0)
        val complete = inForce == live && summary?.viewHash == membership.table.zoneHash(zone)
        return InForceReport(
            version = wanted,
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
        if (position == 0) zones[self.zone] = Held(summary, nowMs)
        if (position <= 0) return
        val parent = ranked[(position - 1) / FANOUT]
        val message = parent to summary
        if (message == lastSent && nowMs - lastSentMs < REFRESH_MS) return
        lastSent = message
        lastSentMs = nowMs
        val address = membership.table.live[parent]?.controlAddress ?: return
        outbox.send(PeerAddress(address), PeerMessage.ZoneAck(self.nodeId, summary))
    }

    private fun askRoots(nowMs: Long) {
        askedMs = nowMs
        membership.table.liveZones().forEach { zone ->
            val root = ranking.rank(zone).firstOrNull()
            val record = root?.let(membership.table.live::get)
            when {
                record == null -> return@forEach
                root == membership.self.nodeId -> zones[zone] = Held(summarize(nowMs), nowMs)
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
        children.keys.retainAll(expected.toSet())
        val reported = expected.associateWith { children[it]?.takeIf { held -> held.isValid(viewHash, nowMs) }?.summary }
        val parts = reported.values.filterNotNull()
        val own = version()
        val counts =
            (parts.flatMap { it.counts.entries }.map { it.toPair() } + (own to 1)).groupingBy { it.first }.fold(0) { n, e ->
                n +
                    e.second
            }
        val highest = counts.keys.max()
        val silent = reported.filterValues { it == null }.keys
        val behind = if (own < highest) listOf(self.nodeId) else emptyList()
        val deeper =
            parts.flatMap { part ->
                part.lagging.ifEmpty {
                    if (part.lowest <
                        highest
                    ) {
                        listOf(ownerOf(reported, part))
                    } else {
                        emptyList()
                    }
                }
            }
        return ZoneSummary(
            zone = self.zone,
            viewHash = viewHash,
            nodes = 1 + parts.sumOf { it.nodes },
            lowest = minOf(own, parts.minOfOrNull { it.lowest } ?: own),
            counts =
                counts
                    .toSortedMap(reverseOrder())
                    .entries
                    .take(MAX_VERSIONS)
                    .associate { it.toPair() },
            lagging = (behind + silent + deeper).take(MAX_LAGGING),
        )
    }

    private fun ownerOf(
        reported: Map<String, ZoneSummary?>,
        part: ZoneSummary,
    ): String = reported.entries.first { it.value === part }.key

    private class Held(
        val summary: ZoneSummary,
        val atMs: Long,
    ) {
        fun isValid(
            viewHash: Int,
            nowMs: Long,
        ): Boolean = summary.viewHash == viewHash && nowMs - atMs <= CHILD_VALID_MS
    }

    private companion object {
        const val FANOUT = 16
        const val MAX_VERSIONS = 4
        const val MAX_LAGGING = 8
        const val REPORT_PERIOD_MS = 500L
        const val REFRESH_MS = 10_000L
        const val CHILD_VALID_MS = 30_000L
        const val STATUS_VALID_MS = 3_000L
        const val MIN_ASK_PERIOD_MS = 100L
        const val INTEREST_MS = 30_000L
    }
}
