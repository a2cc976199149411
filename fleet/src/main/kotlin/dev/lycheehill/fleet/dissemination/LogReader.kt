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
 * Follows stream `config` while this node is a reader of its zone.
 *
 * The state belongs to the control thread; reads run on [worker]. The last held record is read again from time to time
 * and after each failure, so that a log that comes back different is noticed before anything of it is folded.
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
    private val onTooOld: () -> Unit,
    private val onDivergence: (String) -> Unit,
) {
    private val backoff = Backoff(random, settings.backoffBaseMs, settings.backoffCapMs)
    private var inFlight = false
    private var nextPollMs = 0L
    private var verifyAtMs = 0L

    /** Reason why the log is not followed, or null. */
    var divergence: String? = null
        private set

    /** When the end of the stream was last seen. */
    var followedAtMs: Long = Long.MIN_VALUE / 2
        private set

    /** Starts a read if one is due. */
    fun poll() {
        val now = nowMs()
        if (inFlight || now < nextPollMs || !isReader()) return
        val next = store.state.nextOffset
        val verify = now >= verifyAtMs || divergence != null
        val from = if (verify && store.recordAt(next - 1) != null) next - 1 else next
        val waitMs = if (verify) 0 else settings.longPollMs
        inFlight = true
        worker.execute {
            val result = log.read(Streams.CONFIG, from, settings.maxCatchUpRecords + 1, waitMs)
            control.execute { onResult(result, from, next, verify) }
        }
    }

    private fun onResult(
        result: Either<LogError, LogPage>,
        from: Long,
        expectedNext: Long,
        verify: Boolean,
    ) {
        inFlight = false
        result.fold({ onFailure(it) }, { onPage(it, from, expectedNext, verify) })
    }

    private fun onFailure(error: LogError) {
        nextPollMs = nowMs() + maxOf(backoff.nextDelayMs(), error.retryAfterMs ?: 0)
        verifyAtMs = 0
    }

    private fun onPage(
        page: LogPage,
        from: Long,
        expectedNext: Long,
        verify: Boolean,
    ) {
        backoff.reset()
        if (verify) verifyAtMs = nowMs() + settings.verifyPeriodMs
        val first = page.entries.firstOrNull()
        when {
            page.nextOffset < expectedNext -> diverge("log ends at ${page.nextOffset}, this node holds the records below $expectedNext")
            page.firstRetainedOffset > expectedNext -> tooOld()
            first != null && store.contradicts(first) -> diverge("record at offset ${first.offset} differs")
            divergence != null && (from == expectedNext || first?.offset != from) -> nextPollMs = nowMs() + settings.verifyPeriodMs
            else -> follow(page)
        }
    }

    private fun follow(page: LogPage) {
        divergence = null
        val end = page.entries.lastOrNull()?.let { it.offset + 1 } ?: page.nextOffset
        if (end >= page.nextOffset) followedAtMs = nowMs()
        if (!onEntries(page.entries)) diverge("a record differs from the one held")
    }

    private fun tooOld() {
        nextPollMs = nowMs() + TOO_OLD_RETRY_MS
        onTooOld()
    }

    private fun diverge(reason: String) {
        nextPollMs = nowMs() + settings.verifyPeriodMs
        if (divergence == null) onDivergence(reason)
        divergence = reason
    }

    private companion object {
        const val TOO_OLD_RETRY_MS = 1_000L
    }
}
