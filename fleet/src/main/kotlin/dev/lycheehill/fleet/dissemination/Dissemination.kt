package dev.lycheehill.fleet.dissemination

import arrow.core.getOrElse
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotError
import dev.lycheehill.config.snapshot.SnapshotRestorer
import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.Membership
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireRecord
import kotlin.random.Random

/**
 * Peer-to-peer distribution of the records of stream `config`, by announcements, requests, transfers and digests.
 *
 * Confined to the control thread.
 */
internal class Dissemination(
    private val store: FoldStore,
    private val membership: Membership,
    private val settings: DisseminationSettings,
    random: Random,
    private val outbox: Outbox,
    private val counters: DisseminationCounters,
    private val onAdvance: (FoldState) -> Unit,
) {
    private val transfer = SnapshotTransfer(::snapshot, outbox)
    private val limiter = TransferLimiter(settings.maxTransfers)
    private val backoff = Backoff(random, settings.backoffBaseMs, settings.backoffCapMs)
    private val peersAhead = LinkedHashMap<PeerAddress, Long>()
    private val distrustedUntilMs = HashMap<PeerAddress, Long>()
    private var fetch: Fetch? = null
    private var nextFetchAtMs = 0L
    private var nextRepeatAtMs: Long? = null

    /** Ends an overdue fetch, starts the next one and repeats the announcement of a change once. */
    fun onTick(nowMs: Long) {
        val currentFetch = fetch
        if (currentFetch != null && nowMs >= currentFetch.deadlineMs) {
            peersAhead.remove(currentFetch.peer)
            failFetch(nowMs)
        }
        if (fetch == null) fetchNext(nowMs)
        if (nextRepeatAtMs?.let { nowMs >= it } == true) {
            nextRepeatAtMs = null
            announce()
        }
    }

    /** Folds [entries] that this node read from the log. Returns false when one of the entries contradicts a held record. */
    fun onLogEntries(
        entries: List<LogEntry>,
        nowMs: Long,
    ): Boolean {
        val before = store.state
        val results = entries.map { store.append(it) }
        if (store.state !== before) onStateAdvanced(nowMs)
        return AppendResult.DIFFERENT !in results
    }

    /** Applies [snapshot] from the log if it is newer than the state of this node. */
    fun onLogSnapshot(
        snapshot: Snapshot,
        nowMs: Long,
    ) {
        apply(snapshot, nowMs)
    }

    /** Returns a snapshot of the state of this node. */
    fun snapshot(): Snapshot = Snapshot(store.state)

    /** Returns an announcement of the position of this node. */
    fun announcement(): PeerMessage.Announce = store.state.let { PeerMessage.Announce(it.nextOffset, chainPrefix(it.chainHash)) }

    /** Handles the position of a peer from an announcement or a digest. */
    fun onPosition(
        from: PeerAddress,
        nextOffset: Long,
        chain: Long,
        nowMs: Long,
    ) {
        val own = store.state
        when {
            nextOffset > own.nextOffset -> {
                peersAhead[from] = nextOffset
                while (peersAhead.size > MAX_PEERS_AHEAD) peersAhead.remove(peersAhead.keys.first())
                if (fetch == null) fetchNext(nowMs)
            }

            nextOffset < own.nextOffset -> outbox.send(from, announcement())
            chain != chainPrefix(own.chainHash) -> counters.divergences.incrementAndGet()
        }
    }

    /** Sends a peer the records that it lacks, or the first part of a snapshot when there are too many of them or some are not held. */
    fun onRequest(
        from: PeerAddress,
        request: PeerMessage.RecordsRequest,
        nowMs: Long,
    ) {
        val own = store.state
        val missing = own.nextOffset - request.fromOffset
        val records =
            if (missing in
                1..settings.maxCatchUpRecords
            ) {
                store.recordsFrom(request.fromOffset, settings.maxCatchUpRecords)?.let(::limitBytes)
            } else {
                null
            }
        val chain = store.chainAt(request.fromOffset)
        when {
            missing <= 0 -> outbox.send(from, PeerMessage.Records(emptyList()))
            chain != null && chainPrefix(chain) != request.chain -> refuseDiverged(from)
            !limiter.admit(from, nowMs, records?.let(::holdMs) ?: SNAPSHOT_HOLD_MS) -> refuseBusy(from)
            records != null -> outbox.send(from, PeerMessage.Records(records))
            else -> serveSnapshot(from, own.nextOffset, part = 0)
        }
    }

    /** Sends a peer the requested part of a snapshot. */
    fun onSnapshotRequest(
        from: PeerAddress,
        request: PeerMessage.SnapshotRequest,
        nowMs: Long,
    ) {
        if (limiter.admit(from, nowMs, SNAPSHOT_HOLD_MS)) serveSnapshot(from, request.nextOffset, request.part) else refuseBusy(from)
    }

    /** Appends records from a peer. A peer that answers a request with a wrong record is not asked again for [DISTRUST_MS]. */
    fun onRecords(
        from: PeerAddress,
        message: PeerMessage.Records,
        nowMs: Long,
    ) {
        val before = store.state
        counters.recordsReceived.addAndGet(message.records.size.toLong())
        val hasRefused = message.records.any { !appendRecord(it) }
        val hasProgressed = store.state !== before
        if (hasProgressed) onStateAdvanced(nowMs)
        if (fetch?.peer != from) return
        fetch = null
        if (hasRefused) distrustedUntilMs[from] = nowMs + DISTRUST_MS
        if (hasRefused || !hasProgressed) peersAhead.remove(from)
        if (hasProgressed) backoff.reset()
        fetchNext(nowMs)
    }

    /** Collects a part of the snapshot that is being fetched, and applies the snapshot when it is complete. */
    fun onSnapshotPart(
        from: PeerAddress,
        message: PeerMessage.SnapshotPart,
        nowMs: Long,
    ) {
        val currentFetch = fetch?.takeIf { it.peer == from } ?: return
        currentFetch.deadlineMs = nowMs + SNAPSHOT_HOLD_MS
        val snapshot = transfer.onPart(from, message)
        if (snapshot != null) {
            fetch = null
            if (!apply(snapshot, nowMs)) peersAhead.remove(from)
            fetchNext(nowMs)
        }
    }

    /** Requests the records from another peer when [from] serves no further transfers, or retries later when there is no other peer. */
    fun onBusy(
        from: PeerAddress,
        busy: PeerMessage.Busy,
        nowMs: Long,
    ) {
        if (fetch?.peer != from) return
        peersAhead.remove(from)
        if (peersAhead.isNotEmpty()) {
            fetch = null
            fetchNext(nowMs)
            return
        }
        failFetch(nowMs)
        peersAhead[from] = Long.MAX_VALUE
        nextFetchAtMs = maxOf(nextFetchAtMs, nowMs + minOf(busy.retryAfterMs, settings.backoffCapMs))
    }

    private fun apply(
        snapshot: Snapshot,
        nowMs: Long,
    ): Boolean {
        val next =
            SnapshotRestorer.apply(store.state, snapshot).getOrElse {
                if (it == SnapshotError.DIVERGED) counters.divergences.incrementAndGet()
                return false
            }
        if (!store.replace(next)) return false
        counters.snapshotsApplied.incrementAndGet()
        backoff.reset()
        onStateAdvanced(nowMs)
        return true
    }

    private fun appendRecord(record: WireRecord): Boolean {
        val result = store.append(LogEntry(record.offset, record.payload), record.chainHash)
        if (result == AppendResult.KNOWN) counters.duplicateRecords.incrementAndGet()
        if (result == AppendResult.EXTENDED || result == AppendResult.KNOWN) return true
        counters.refusedRecords.incrementAndGet()
        return false
    }

    private fun onStateAdvanced(nowMs: Long) {
        peersAhead.values.removeIf { it <= store.state.nextOffset }
        onAdvance(store.state)
        announce()
        nextRepeatAtMs = nowMs + settings.repeatAnnounceMs
    }

    private fun announce() {
        val message = announcement()
        membership.announcePeers(settings.announcePeers).forEach { outbox.send(PeerAddress(it.controlAddress), message) }
    }

    private fun fetchNext(nowMs: Long) {
        if (nowMs < nextFetchAtMs) return
        distrustedUntilMs.values.removeIf { it <= nowMs }
        val own = store.state
        peersAhead.entries.removeIf { (peer, nextOffset) -> nextOffset <= own.nextOffset || peer in distrustedUntilMs }
        val peer = peersAhead.keys.lastOrNull() ?: return
        fetch = Fetch(peer, nowMs + settings.fetchTimeoutMs)
        outbox.send(peer, PeerMessage.RecordsRequest(own.nextOffset, chainPrefix(own.chainHash)))
    }

    private fun failFetch(nowMs: Long) {
        fetch = null
        nextFetchAtMs = nowMs + backoff.nextDelayMs()
    }

    private fun refuseBusy(peer: PeerAddress) {
        counters.transfersRefused.incrementAndGet()
        outbox.send(peer, PeerMessage.Busy(RETRY_AFTER_MS))
    }

    private fun refuseDiverged(peer: PeerAddress) {
        counters.divergences.incrementAndGet()
        outbox.send(peer, PeerMessage.Records(emptyList()))
    }

    private fun serveSnapshot(
        peer: PeerAddress,
        nextOffset: Long,
        part: Int,
    ) {
        if (transfer.serve(peer, nextOffset, part)) limiter.release(peer)
    }

    // Catch-up records are sent in one message, which occupies the sender for about as long as its bytes take on the wire.
    private fun holdMs(records: List<WireRecord>): Long = 1 + records.sumOf { it.payload.size } / CATCH_UP_BYTES_PER_MS

    private fun limitBytes(records: List<WireRecord>): List<WireRecord> {
        var bytes = 0
        return records.takeWhile {
            val first = bytes == 0
            bytes += it.payload.size
            first || bytes <= settings.maxRecordBytes
        }
    }

    private class Fetch(
        val peer: PeerAddress,
        var deadlineMs: Long,
    )

    private companion object {
        const val MAX_PEERS_AHEAD = 8
        const val CATCH_UP_BYTES_PER_MS = 25_000L
        const val SNAPSHOT_HOLD_MS = 2_000L
        const val RETRY_AFTER_MS = 50L
        const val DISTRUST_MS = 10_000L
    }
}
