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
 * Log in memory with fault injection. Thread-safe.
 *
 * A call that [LogFaults.delayMs] delays beyond [callTimeoutMs] fails with a timeout, like a call over the network. If the
 * call is an append, it takes effect after the delay.
 */
class InMemoryPlatformLog(
    private val timers: TimerService,
    private val sleeper: Sleeper = Sleeper.SYSTEM,
    private val callTimeoutMs: Long = 2_000,
    /** Records of the log. */
    val store: LogStore = LogStore(),
) : PlatformLog {
    private val limiter = AppendLimiter()

    /** Faults injected into calls. */
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
        val current = faults
        if (current.outage) return unavailable(Verdict.NOT_RUN)
        val retryAfterMs = limiter.tryAcquire(current.maxAppendsPerS, timers.nowMs())
        if (retryAfterMs > 0) return rateLimited(retryAfterMs)
        return if (current.delayMs > callTimeoutMs) appendLater(current, stream, payload) else appendAfterDelay(current, stream, payload)
    }

    override fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<LogError, LogPage> {
        if (!sleepFor(faults.delayMs)) return timeout(Verdict.NOT_RUN)
        val deadlineMs = timers.nowMs() + waitMs
        while (true) {
            if (faults.outage) return unavailable(Verdict.NOT_RUN)
            val page = store.read(stream, fromOffset, maxRecords)
            val remainingMs = deadlineMs - timers.nowMs()
            val hasNoRecordsYet = page.entries.isEmpty() && page.firstRetainedOffset <= fromOffset
            if (!hasNoRecordsYet || remainingMs <= 0) return page.right()
            sleeper.sleep(minOf(POLL_INTERVAL_MS, remainingMs))
        }
    }

    private fun appendLater(
        current: LogFaults,
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        val copy = payload.clone()
        timers.after(current.delayMs) { store.append(stream, copy, faults.retainRecords) }
        sleeper.sleep(callTimeoutMs)
        return timeout(Verdict.MAY_HAVE_RUN)
    }

    private fun appendAfterDelay(
        current: LogFaults,
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        sleepFor(current.delayMs)
        val offset = store.append(stream, payload, faults.retainRecords)
        return if (current.loseResponses) unavailable(Verdict.MAY_HAVE_RUN) else offset.right()
    }

    /** Sleeps for [delayMs], but no longer than the timeout of a call. Returns whether the delay is within the timeout. */
    private fun sleepFor(delayMs: Long): Boolean {
        if (delayMs > 0) sleeper.sleep(minOf(delayMs, callTimeoutMs))
        return delayMs <= callTimeoutMs
    }

    private fun rateLimited(retryAfterMs: Long) =
        LogError(LogError.Kind.RATE_LIMITED, Verdict.NOT_RUN, "append rate limit of the log exceeded", retryAfterMs).left()

    private fun unavailable(verdict: Verdict) = LogError(LogError.Kind.UNAVAILABLE, verdict, "the log is unavailable").left()

    private fun timeout(verdict: Verdict) = LogError(LogError.Kind.TIMEOUT, verdict, "no response within $callTimeoutMs ms").left()

    private companion object {
        const val POLL_INTERVAL_MS = 5L
    }
}
