package dev.lycheehill.fleet.dissemination

import arrow.core.Either
import dev.lycheehill.config.log.Streams
import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotAssembler
import dev.lycheehill.config.snapshot.SnapshotCodec
import dev.lycheehill.config.snapshot.SnapshotDecision
import dev.lycheehill.config.snapshot.SnapshotMark
import dev.lycheehill.config.snapshot.SnapshotPosition
import dev.lycheehill.config.snapshot.SnapshotRule
import dev.lycheehill.config.snapshot.SnapshotWriterView
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog
import java.util.concurrent.Executor

/**
 * Reads and writes stream `snapshots`.
 *
 * The state belongs to the control thread; calls to the log run on [worker]. A snapshot is written one part per tick, so
 * a node appends at most ten records a second.
 */
internal class SnapshotStream(
    private val log: PlatformLog,
    private val control: Executor,
    private val worker: Executor,
    private val nowMs: () -> Long,
    private val current: () -> Snapshot,
    private val onSnapshot: (Snapshot) -> Unit,
) {
    private val assembler = SnapshotAssembler()
    private var nextOffset = 0L
    private var newest = SnapshotMark(SnapshotPosition(0), nowMs())
    private var followedAtMs = Long.MIN_VALUE / 2
    private var inFlight = false
    private var pending = ArrayDeque<ByteArray>()
    private var pendingPosition = SnapshotPosition(0)
    private var failures = 0
    private var nextDecisionMs = 0L

    /** Snapshots written whole. */
    var written: Long = 0
        private set

    /** Reads the stream to its end and hands over the newest snapshot in it. */
    fun catchUp() {
        if (inFlight) return
        inFlight = true
        readOn(nextOffset)
    }

    /**
     * Writes a snapshot if it is this node's turn.
     *
     * @param configFollowedAtMs when the end of stream `config` was last seen.
     */
    fun onTick(
        self: String,
        readers: Collection<String>,
        configFollowedAtMs: Long,
    ) {
        if (inFlight) return
        if (pending.isNotEmpty()) return writePart()
        if (nowMs() < nextDecisionMs) return
        nextDecisionMs = nowMs() + DECISION_PERIOD_MS
        val view = SnapshotWriterView(self, readers, current().position, newest, minOf(followedAtMs, configFollowedAtMs))
        when (SnapshotRule.decide(view, nowMs())) {
            SnapshotDecision.WAIT -> Unit
            SnapshotDecision.CATCH_UP -> catchUp()
            SnapshotDecision.WRITE -> startWriting()
        }
    }

    private fun startWriting() {
        val snapshot = current()
        pending.addAll(SnapshotCodec.encode(snapshot).getOrNull().orEmpty())
        pendingPosition = snapshot.position
        failures = 0
    }

    // A part whose append may have run is appended again; readers ignore the second copy.
    private fun writePart() {
        val part = pending.first()
        inFlight = true
        worker.execute {
            val result = log.append(Streams.SNAPSHOTS, part)
            control.execute { onWritten(result) }
        }
    }

    private fun onWritten(result: Either<LogError, Long>) {
        inFlight = false
        if (result.isLeft()) {
            failures++
            if (failures >= MAX_FAILURES) pending.clear()
            return
        }
        pending.removeFirst()
        if (pending.isNotEmpty()) return
        written++
        newest = SnapshotMark(pendingPosition, nowMs())
    }

    private fun readOn(from: Long) =
        worker.execute {
            val result = log.read(Streams.SNAPSHOTS, from, PAGE_RECORDS, waitMs = 0)
            control.execute { result.fold({ inFlight = false }, { onPage(it, from) }) }
        }

    private fun onPage(
        page: LogPage,
        from: Long,
    ) {
        page.entries.forEach { assembler.add(it)?.let { found -> newest = SnapshotMark(found.position, nowMs()) } }
        nextOffset = maxOf(page.firstRetainedOffset, from + page.entries.size)
        if (nextOffset < page.nextOffset) return readOn(nextOffset)
        inFlight = false
        followedAtMs = nowMs()
        assembler.newest?.let(onSnapshot)
    }

    private companion object {
        const val PAGE_RECORDS = 16
        const val MAX_FAILURES = 20
        const val DECISION_PERIOD_MS = 1_000L
    }
}
