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
 * Brings one patch into the log and finds its outcome.
 *
 * Appending the same patch again is harmless, because the fold accepts it at most once. Therefore a lost answer leads to
 * a search and then to another append, and only after the time limit to a fence.
 */
internal class PublishAttempt(
    private val follower: LogFollower,
    private val sent: SentPatches,
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

    /** Failure of the latest append. */
    var lastError: LogError? = null
        private set

    /** Returns the outcome that the log proves; null when it proves none within the time limits. */
    fun run(): PatchOutcome? {
        val outcome = retry(limits.appendTimeoutMs, ::sendOnce)
        // Without a send there is nothing to fence. Behind an obstacle, a fence could not be read back.
        if (outcome != null || !mayHaveSent || follower.obstacle != null) return outcome
        return retry(limits.fenceTimeoutMs, ::fenceOnce)
    }

    /** Runs [step] until it gives an outcome, the time limit is over or the fold has stopped. */
    private fun retry(
        limitMs: Long,
        step: () -> PatchOutcome?,
    ): PatchOutcome? {
        val deadlineMs = timers.nowMs() + limitMs
        var attempt = 0
        while (true) {
            val outcome = step()
            val waitMs = maxOf(backoff.delayMs(++attempt), lastError?.retryAfterMs ?: 0)
            val isOver = timers.nowMs() + waitMs >= deadlineMs || isFinal()
            if (outcome != null || isOver) return outcome
            sleeper.sleep(waitMs)
        }
    }

    private fun isFinal(): Boolean = lastError?.kind == LogError.Kind.REFUSED || follower.obstacle != null

    private fun sendOnce(): PatchOutcome? {
        sent.begin(id)
        val result = append(payload)
        if (isNotRun(result)) sent.notRun(id) else mayHaveSent = true
        return findOutcome(result)
    }

    private fun fenceOnce(): PatchOutcome? = findOutcome(append(RecordCodec.encode(FenceRecord(patchId = id.value))))

    private fun append(bytes: ByteArray): Either<LogError, Long> = follower.append(bytes).also { lastError = it.leftOrNull() }

    private fun isNotRun(result: Either<LogError, Long>): Boolean = result.leftOrNull()?.verdict == Verdict.NOT_RUN

    // After a failure that cannot have taken effect, one look suffices: another process may have published the patch.
    private fun findOutcome(result: Either<LogError, Long>): PatchOutcome? =
        search(offset = result.getOrNull(), limitMs = if (isNotRun(result)) 0 else limits.searchTimeoutMs)

    /** Follows the log until it proves an outcome, [offset] was folded without one, or [limitMs] have passed. */
    private fun search(
        offset: Long?,
        limitMs: Long,
    ): PatchOutcome? {
        val deadlineMs = timers.nowMs() + limitMs
        var failures = 0
        while (true) {
            val remainingMs = deadlineMs - timers.nowMs()
            val isRead = follower.poll(waitMs = remainingMs.coerceIn(0, MAX_POLL_MS))
            follower.outcomeOf(id)?.let { return it }
            val isFolded = offset != null && follower.state.nextOffset > offset
            if (isFolded || follower.obstacle != null || timers.nowMs() >= deadlineMs) return null
            if (!isRead) sleeper.sleep(backoff.delayMs(++failures).coerceIn(1, remainingMs.coerceAtLeast(1)))
        }
    }

    private companion object {
        const val MAX_POLL_MS = 1_000L
    }
}
