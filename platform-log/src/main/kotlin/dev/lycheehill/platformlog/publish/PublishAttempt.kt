package dev.lycheehill.platformlog.publish

import arrow.core.Either
import dev.lycheehill.config.fold.PatchOutcome
import dev.lycheehill.config.log.FenceRecord
import dev.lycheehill.config.log.PatchId
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.core.Verdict
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.platformlog.Backoff
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.Sleeper

/**
 * Appends one patch to the log and determines its outcome.
 *
 * Appending the same patch again is harmless, because the fold accepts a patch at most once. When the result of an append
 * is unknown, the attempt searches the log for the outcome and then appends again. When the timeout for appends has passed,
 * the attempt appends a fence, which keeps a patch that is appended after it from being accepted.
 */
internal class PublishAttempt(
    private val follower: LogFollower,
    private val sentPatches: SentPatches,
    private val timers: TimerService,
    private val sleeper: Sleeper,
    private val backoff: Backoff,
    private val limits: PublishLimits,
    record: PatchRecord,
    private val id: PatchId,
) {
    private val payload = RecordCodec.encode(record)

    /** Whether an append of this attempt may have taken effect. */
    var mayHaveSent = false
        private set

    /** Failure of the last append; null when the last append succeeded. */
    var lastError: LogError? = null
        private set

    /** Returns the outcome that the log proves; null when the log proves none within the timeouts. */
    fun run(): PatchOutcome? {
        val outcome = retry(limits.appendTimeoutMs, ::appendPatchOnce)
        // A patch that was never sent needs no fence. When no further records can be folded, the effect of a fence could not be
        // read back.
        if (outcome != null || !mayHaveSent || follower.blockingReason != null) return outcome
        return retry(limits.fenceTimeoutMs, ::appendFenceOnce)
    }

    /** Repeats [step] with backoff until it returns an outcome, [limitMs] have passed, or a retry cannot succeed. */
    private fun retry(
        limitMs: Long,
        step: () -> PatchOutcome?,
    ): PatchOutcome? {
        val deadlineMs = timers.nowMs() + limitMs
        var attempt = 0
        while (true) {
            val outcome = step()
            val waitMs = maxOf(backoff.delayMs(++attempt), lastError?.retryAfterMs ?: 0)
            val mustStop = timers.nowMs() + waitMs >= deadlineMs || isUnrecoverable()
            if (outcome != null || mustStop) return outcome
            sleeper.sleep(waitMs)
        }
    }

    private fun isUnrecoverable(): Boolean = lastError?.kind == LogError.Kind.REFUSED || follower.blockingReason != null

    private fun appendPatchOnce(): PatchOutcome? {
        sentPatches.markSending(id)
        val result = append(payload)
        if (isNotRun(result)) sentPatches.markNotRun(id) else mayHaveSent = true
        return findOutcome(result)
    }

    private fun appendFenceOnce(): PatchOutcome? = findOutcome(append(RecordCodec.encode(FenceRecord(patchId = id.value))))

    private fun append(bytes: ByteArray): Either<LogError, Long> = follower.append(bytes).also { lastError = it.leftOrNull() }

    private fun isNotRun(result: Either<LogError, Long>): Boolean = result.leftOrNull()?.verdict == Verdict.NOT_RUN

    // An append that has certainly not taken effect yields no outcome itself. The patch can then have an outcome only if
    // another process has published the same patch; a single poll finds that outcome.
    private fun findOutcome(result: Either<LogError, Long>): PatchOutcome? =
        search(offset = result.getOrNull(), limitMs = if (isNotRun(result)) 0 else limits.searchTimeoutMs)

    /**
     * Polls the log for the outcome of the patch. Returns null when all records up to [offset] have been folded and
     * the patch still has no outcome, when no further records can be folded, or when [limitMs] have passed.
     */
    private fun search(
        offset: Long?,
        limitMs: Long,
    ): PatchOutcome? {
        val deadlineMs = timers.nowMs() + limitMs
        var failures = 0
        while (true) {
            val remainingMs = deadlineMs - timers.nowMs()
            val hasReadRecords = follower.poll(waitMs = remainingMs.coerceIn(0, MAX_POLL_MS))
            follower.outcomeOf(id)?.let { return it }
            val isFolded = offset != null && follower.state.nextOffset > offset
            if (isFolded || follower.blockingReason != null || timers.nowMs() >= deadlineMs) return null
            if (!hasReadRecords) sleeper.sleep(backoff.delayMs(++failures).coerceIn(1, remainingMs.coerceAtLeast(1)))
        }
    }

    private companion object {
        const val MAX_POLL_MS = 1_000L
    }
}
