package dev.lycheehill.fleet.dissemination

import arrow.core.Either
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.Streams
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog
import java.util.concurrent.Executor
import kotlin.random.Random

/**
 * Reader that follows stream `config` while this node is a reader of its zone.
 *
 * Confined to the control thread; reads of the log run on [worker]. The last held record is read again every
 * [DisseminationSettings.verifyPeriodMs] and after each failure, so that a log whose content has changed is detected before any of its
 * records is folded.
 */
internal class LogReader(
    private val log: PlatformLog,
    private val store: FoldStore,
    private val settings: DisseminationSettings,
    random: Random,
    private val control: Executor,
    private val worker: Executor,
    private val nowMs: () -> Long,
    private val isReader: () -> Boolean,
    private val onEntries: (List<LogEntry>) -> Boolean,
    private val onRecordsDropped: () -> Unit,
    private val onDivergence: (String) -> Unit,
) {
    private val backoff = Backoff(random, settings.backoffBaseMs, settings.backoffCapMs)
    private var isReading = false
    private var nextPollMs = 0L
    private var verifyAtMs = 0L

    /** Reason why this node does not follow the log, or null when it does. */
    var divergence: String? = null
        private set

    /** Time at which this node last reached the end of the stream. */
    var caughtUpAtMs: Long = Long.MIN_VALUE / 2
        private set

    /** Starts a read if one is due. */
    fun poll() {
        val now = nowMs()
        if (isReading || now < nextPollMs || !isReader()) return
        val next = store.state.nextOffset
        val isVerifying = now >= verifyAtMs || divergence != null
        val from = if (isVerifying && store.recordAt(next - 1) != null) next - 1 else next
        val waitMs = if (isVerifying) 0 else settings.longPollMs
        isReading = true
        worker.execute {
            val result = log.read(Streams.CONFIG, from, settings.maxCatchUpRecords + 1, waitMs)
            control.execute { onResult(result, from, next, isVerifying) }
        }
    }

    private fun onResult(
        result: Either<LogError, LogPage>,
        from: Long,
        expectedNext: Long,
        isVerifying: Boolean,
    ) {
        isReading = false
        result.fold({ onFailure(it) }, { onPage(it, from, expectedNext, isVerifying) })
    }

    private fun onFailure(error: LogError) {
        nextPollMs = nowMs() + maxOf(backoff.nextDelayMs(), error.retryAfterMs ?: 0)
        verifyAtMs = 0
    }

    private fun onPage(
        page: LogPage,
        from: Long,
        expectedNext: Long,
        isVerifying: Boolean,
    ) {
        backoff.reset()
        if (isVerifying) verifyAtMs = nowMs() + settings.verifyPeriodMs
        val first = page.entries.firstOrNull()
        when {
            page.nextOffset < expectedNext ->
                markDiverged(
                    "log ends at ${page.nextOffset}, this node holds the records below $expectedNext",
                )
            page.firstRetainedOffset > expectedNext -> handleDroppedRecords()
            first != null && store.contradicts(first) -> markDiverged("record at offset ${first.offset} differs from the held record")
            divergence != null && (from == expectedNext || first?.offset != from) -> nextPollMs = nowMs() + settings.verifyPeriodMs
            else -> follow(page)
        }
    }

    private fun follow(page: LogPage) {
        divergence = null
        val end = page.entries.lastOrNull()?.let { it.offset + 1 } ?: page.nextOffset
        if (end >= page.nextOffset) caughtUpAtMs = nowMs()
        if (!onEntries(page.entries)) markDiverged("a record differs from the held record")
    }

    private fun handleDroppedRecords() {
        nextPollMs = nowMs() + DROPPED_RECORDS_RETRY_MS
        onRecordsDropped()
    }

    private fun markDiverged(reason: String) {
        nextPollMs = nowMs() + settings.verifyPeriodMs
        if (divergence == null) onDivergence(reason)
        divergence = reason
    }

    private companion object {
        const val DROPPED_RECORDS_RETRY_MS = 1_000L
    }
}
