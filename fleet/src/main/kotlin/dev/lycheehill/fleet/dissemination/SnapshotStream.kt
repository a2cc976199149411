package dev.lycheehill.fleet.dissemination

import arrow.core.Either
import dev.lycheehill.config.log.Streams
import dev.lycheehill.config.snapshot.KnownSnapshot
import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotAssembler
import dev.lycheehill.config.snapshot.SnapshotCodec
import dev.lycheehill.config.snapshot.SnapshotDecision
import dev.lycheehill.config.snapshot.SnapshotPosition
import dev.lycheehill.config.snapshot.SnapshotWritePolicy
import dev.lycheehill.config.snapshot.SnapshotWriterView
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog
import java.util.concurrent.Executor

/**
 * Reader and writer of stream `snapshots`.
 *
 * Confined to the control thread; calls to the log run on [worker]. A snapshot is written one part per tick, so that a node appends at
 * most ten records a second.
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
    private var newest = KnownSnapshot(SnapshotPosition(0), nowMs())
    private var caughtUpAtMs = Long.MIN_VALUE / 2
    private var isCallInProgress = false
    private var pendingParts = ArrayDeque<ByteArray>()
    private var pendingPosition = SnapshotPosition(0)
    private var failures = 0
    private var nextDecisionMs = 0L

    /** Number of snapshots written completely. */
    var written: Long = 0
        private set

    /** Reads the stream to its end and passes the newest snapshot to [onSnapshot]. */
    fun catchUp() {
        if (isCallInProgress) return
        isCallInProgress = true
        readPage(nextOffset)
    }

    /**
     * Writes the next part of a snapshot, or starts a snapshot if [SnapshotWritePolicy] selects this node.
     *
     * @param configCaughtUpAtMs time at which this node last reached the end of stream `config`.
     */
    fun onTick(
        self: String,
        readers: Collection<String>,
        configCaughtUpAtMs: Long,
    ) {
        if (isCallInProgress) return
        if (pendingParts.isNotEmpty()) return writePart()
        if (nowMs() < nextDecisionMs) return
        nextDecisionMs = nowMs() + DECISION_PERIOD_MS
        val view = SnapshotWriterView(self, readers, current().position, newest, minOf(caughtUpAtMs, configCaughtUpAtMs))
        when (SnapshotWritePolicy.decide(view, nowMs())) {
            SnapshotDecision.WAIT -> Unit
            SnapshotDecision.CATCH_UP -> catchUp()
            SnapshotDecision.WRITE -> startWriting()
        }
    }

    private fun startWriting() {
        val snapshot = current()
        pendingParts.addAll(SnapshotCodec.encode(snapshot).getOrNull().orEmpty())
        pendingPosition = snapshot.position
        failures = 0
    }

    // A part is appended again after a failure, even if the failed append may have taken effect: readers ignore duplicates.
    private fun writePart() {
        val part = pendingParts.first()
        isCallInProgress = true
        worker.execute {
            val result = log.append(Streams.SNAPSHOTS, part)
            control.execute { onWritten(result) }
        }
    }

    private fun onWritten(result: Either<LogError, Long>) {
        isCallInProgress = false
        if (result.isLeft()) {
            failures++
            if (failures >= MAX_APPEND_FAILURES) pendingParts.clear()
            return
        }
        pendingParts.removeFirst()
        if (pendingParts.isNotEmpty()) return
        written++
        newest = KnownSnapshot(pendingPosition, nowMs())
    }

    private fun readPage(from: Long) =
        worker.execute {
            val result = log.read(Streams.SNAPSHOTS, from, PAGE_RECORDS, waitMs = 0)
            control.execute { result.fold({ isCallInProgress = false }, { onPage(it, from) }) }
        }

    private fun onPage(
        page: LogPage,
        from: Long,
    ) {
        page.entries.forEach { assembler.add(it)?.let { found -> newest = KnownSnapshot(found.position, nowMs()) } }
        nextOffset = maxOf(page.firstRetainedOffset, from + page.entries.size)
        if (nextOffset < page.nextOffset) return readPage(nextOffset)
        isCallInProgress = false
        caughtUpAtMs = nowMs()
        assembler.newest?.let(onSnapshot)
    }

    private companion object {
        const val PAGE_RECORDS = 16
        const val MAX_APPEND_FAILURES = 20
        const val DECISION_PERIOD_MS = 1_000L
    }
}
