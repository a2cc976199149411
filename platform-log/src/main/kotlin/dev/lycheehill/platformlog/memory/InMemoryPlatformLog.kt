package dev.lycheehill.platformlog.memory

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.core.Verdict
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.Sleeper

/**
 * Log in memory with fault switches. Thread-safe.
 *
 * A call that is delayed beyond [callTimeoutMs] fails as a client would see it, and an append takes effect later.
 */
class InMemoryPlatformLog(
    private val timers: TimerService,
    private val sleeper: Sleeper = Sleeper.SYSTEM,
    private val callTimeoutMs: Long = 2_000,
    /** Holds the records. */
    val store: LogStore = LogStore(),
) : PlatformLog {
    private val limiter = AppendLimiter()

    /** Current faults. */
    @Volatile
    var faults: LogFaults = LogFaults()
        set(value) {
            field = value
            store.retain(value.retainRecords)
        }

    override fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        val now = faults
        if (now.outage) return unavailable(Verdict.NOT_RUN)
        val retryAfterMs = limiter.tryAcquire(now.maxAppendsPerS, timers.nowMs())
        if (retryAfterMs > 0) return rateLimited(retryAfterMs)
        return if (now.delayMs > callTimeoutMs) appendLater(now, stream, payload) else appendAfterDelay(now, stream, payload)
    }

    override fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<LogError, LogPage> {
        if (!delay(faults.delayMs)) return timeout(Verdict.NOT_RUN)
        val deadlineMs = timers.nowMs() + waitMs
        while (true) {
            if (faults.outage) return unavailable(Verdict.NOT_RUN)
            val page = store.read(stream, fromOffset, maxRecords)
            val remainingMs = deadlineMs - timers.nowMs()
            val hasNoMore = page.entries.isEmpty() && page.firstRetainedOffset <= fromOffset
            if (!hasNoMore || remainingMs <= 0) return page.right()
            sleeper.sleep(minOf(POLL_MS, remainingMs))
        }
    }

    private fun appendLater(
        now: LogFaults,
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        val copy = payload.clone()
        timers.after(now.delayMs) { store.append(stream, copy, faults.retainRecords) }
        sleeper.sleep(callTimeoutMs)
        return timeout(Verdict.MAY_HAVE_RUN)
    }

    private fun appendAfterDelay(
        now: LogFaults,
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        delay(now.delayMs)
        val offset = store.append(stream, payload, faults.retainRecords)
        return if (now.loseAnswers) unavailable(Verdict.MAY_HAVE_RUN) else offset.right()
    }

    /** Waits for [delayMs], but no longer than the time limit of a call; tells whether the limit was kept. */
    private fun delay(delayMs: Long): Boolean {
        if (delayMs > 0) sleeper.sleep(minOf(delayMs, callTimeoutMs))
        return delayMs <= callTimeoutMs
    }

    private fun rateLimited(retryAfterMs: Long) =
        LogError(LogError.Kind.RATE_LIMITED, Verdict.NOT_RUN, "over the append rate of the log", retryAfterMs).left()

    private fun unavailable(verdict: Verdict) = LogError(LogError.Kind.UNAVAILABLE, verdict, "the log does not answer").left()

    private fun timeout(verdict: Verdict) = LogError(LogError.Kind.TIMEOUT, verdict, "no answer within $callTimeoutMs ms").left()

    private companion object {
        const val POLL_MS = 5L
    }
}
