package dev.lycheehill.fleet.dissemination

import arrow.core.getOrElse
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotError
import dev.lycheehill.config.snapshot.SnapshotRestore
import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.Membership
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireRecord
import kotlin.random.Random

/**
 * Passes the records of stream `config` on between nodes: announcement, request, transfer and repair by digests.
 *
 * Runs on the control thread.
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
    private val admission = TransferLimiter(settings.maxTransfers)
    private val backoff = Backoff(random, settings.backoffBaseMs, settings.backoffCapMs)
    private val ahead = LinkedHashMap<PeerAddress, Long>()
    private val distrusted = HashMap<PeerAddress, Long>()
    private var fetch: Fetch? = null
    private var mayFetchAtMs = 0L
    private var repeatAnnounceAtMs: Long? = null

    fun onTick(nowMs: Long) {
        val running = fetch
        if (running != null && nowMs >= running.deadlineMs) {
            ahead.remove(running.peer)
            failFetch(nowMs)
        }
        if (fetch == null) fetchNext(nowMs)
        if (repeatAnnounceAtMs?.let { nowMs >= it } == true) {
            repeatAnnounceAtMs = null
            announce()
        }
    }

    /** Folds records that this node read from the log. Returns false when one of them contradicts a held record. */
    fun onLogEntries(
        entries: List<LogEntry>,
        nowMs: Long,
    ): Boolean {
        val before = store.state
        val results = entries.map { store.append(it) }
        if (store.state !== before) advanced(nowMs)
        return AppendResult.DIFFERENT !in results
    }

    /** Takes a snapshot from the log if it is newer than the node's state. */
    fun onLogSnapshot(
        snapshot: Snapshot,
        nowMs: Long,
    ) {
        apply(snapshot, nowMs)
    }

    /** The snapshot of this node's state. */
    fun snapshot(): Snapshot = Snapshot(store.state)

    /** The current announcement of this node. */
    fun announcement(): PeerMessage.Announce = store.state.let { PeerMessage.Announce(it.nextOffset, chainPrefix(it.chainHash)) }

    /** Handles an announcement or a digest of a peer. */
    fun onPosition(
        from: PeerAddress,
        nextOffset: Long,
        chain: Long,
        nowMs: Long,
    ) {
        val own = store.state
        when {
            nextOffset > own.nextOffset -> {
                ahead[from] = nextOffset
                while (ahead.size > MAX_CANDIDATES) ahead.remove(ahead.keys.first())
                if (fetch == null) fetchNext(nowMs)
            }

            nextOffset < own.nextOffset -> outbox.send(from, announcement())
            chain != chainPrefix(own.chainHash) -> counters.divergences.incrementAndGet()
        }
    }

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
                store.recordsFrom(request.fromOffset, settings.maxCatchUpRecords)?.let(::bounded)
            } else {
                null
            }
        val chain = store.chainAt(request.fromOffset)
        when {
            missing <= 0 -> outbox.send(from, PeerMessage.Records(emptyList()))
            chain != null && chainPrefix(chain) != request.chain -> refuseDiverged(from)
            !admission.admit(from, nowMs, records?.let(::holdMs) ?: SNAPSHOT_HOLD_MS) -> refuseBusy(from)
            records != null -> outbox.send(from, PeerMessage.Records(records))
            else -> serveSnapshot(from, own.nextOffset, part = 0)
        }
    }

    fun onSnapshotRequest(
        from: PeerAddress,
        request: PeerMessage.SnapshotRequest,
        nowMs: Long,
    ) {
        if (admission.admit(from, nowMs, SNAPSHOT_HOLD_MS)) serveSnapshot(from, request.nextOffset, request.part) else refuseBusy(from)
    }

    fun onRecords(
        from: PeerAddress,
        message: PeerMessage.Records,
        nowMs: Long,
    ) {
        val before = store.state
        counters.recordsReceived.addAndGet(message.records.size.toLong())
        val refused = message.records.any { !accept(it) }
        val progressed = store.state !== before
        if (progressed) advanced(nowMs)
        if (fetch?.peer != from) return
        fetch = null
        if (refused) distrusted[from] = nowMs + DISTRUST_MS
        if (refused || !progressed) ahead.remove(from)
        if (progressed) backoff.reset()
        fetchNext(nowMs)
    }

    fun onSnapshotPart(
        from: PeerAddress,
        message: PeerMessage.SnapshotPart,
        nowMs: Long,
    ) {
        val running = fetch?.takeIf { it.peer == from } ?: return
        running.deadlineMs = nowMs + SNAPSHOT_HOLD_MS
        val snapshot = transfer.onPart(from, message)
        if (snapshot != null) {
            fetch = null
            if (!apply(snapshot, nowMs)) ahead.remove(from)
            fetchNext(nowMs)
        }
    }

    fun onBusy(
        from: PeerAddress,
        busy: PeerMessage.Busy,
        nowMs: Long,
    ) {
        if (fetch?.peer != from) return
        ahead.remove(from)
        if (ahead.isNotEmpty()) {
            fetch = null
            fetchNext(nowMs)
            return
        }
        failFetch(nowMs)
        ahead[from] = Long.MAX_VALUE
        mayFetchAtMs = maxOf(mayFetchAtMs, nowMs + minOf(busy.retryAfterMs, settings.backoffCapMs))
    }

    private fun apply(
        snapshot: Snapshot,
        nowMs: Long,
    ): Boolean {
        val next =
            SnapshotRestore.apply(store.state, snapshot).getOrElse {
                if (it == SnapshotError.DIVERGED) counters.divergences.incrementAndGet()
                return false
            }
        if (!store.replace(next)) return false
        counters.snapshotsApplied.incrementAndGet()
        backoff.reset()
        advanced(nowMs)
        return true
    }

    private fun accept(record: WireRecord): Boolean {
        val result = store.append(LogEntry(record.offset, record.payload), record.chainHash)
        if (result == AppendResult.KNOWN) counters.duplicateRecords.incrementAndGet()
        if (result == AppendResult.EXTENDED || result == AppendResult.KNOWN) return true
        counters.refusedRecords.incrementAndGet()
        return false
    }

    private fun advanced(nowMs: Long) {
        ahead.values.removeIf { it <= store.state.nextOffset }
        onAdvance(store.state)
        announce()
        repeatAnnounceAtMs = nowMs + settings.repeatAnnounceMs
    }

    private fun announce() {
        val message = announcement()
        membership.announcePeers(settings.announcePeers).forEach { outbox.send(PeerAddress(it.controlAddress), message) }
    }

    private fun fetchNext(nowMs: Long) {
        if (nowMs < mayFetchAtMs) return
        distrusted.values.removeIf { it <= nowMs }
        val own = store.state
        ahead.entries.removeIf { (peer, nextOffset) -> nextOffset <= own.nextOffset || peer in distrusted }
        val peer = ahead.keys.lastOrNull() ?: return
        fetch = Fetch(peer, nowMs + settings.fetchTimeoutMs)
        outbox.send(peer, PeerMessage.RecordsRequest(own.nextOffset, chainPrefix(own.chainHash)))
    }

    private fun failFetch(nowMs: Long) {
        fetch = null
        mayFetchAtMs = nowMs + backoff.nextDelayMs()
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
        if (transfer.serve(peer, nextOffset, part)) admission.release(peer)
    }

    // A difference is one message, which occupies the sender about as long as its bytes take on the wire.
    private fun holdMs(records: List<WireRecord>): Long = 1 + records.sumOf { it.payload.size } / DIFFERENCE_BYTES_PER_MS

    private fun bounded(records: List<WireRecord>): List<WireRecord> {
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
        const val MAX_CANDIDATES = 8
        const val DIFFERENCE_BYTES_PER_MS = 25_000L
        const val SNAPSHOT_HOLD_MS = 2_000L
        const val RETRY_AFTER_MS = 50L
        const val DISTRUST_MS = 10_000L
    }
}
