package dev.lycheehill.platformlog.publish

import arrow.core.Either
import arrow.core.flatMap
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.fold.PatchOutcome
import dev.lycheehill.config.log.PatchId
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.patch.PatchParser
import dev.lycheehill.config.patch.applyTo
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.platformlog.Backoff
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.Sleeper
import kotlin.random.Random

/**
 * Publishes patches through the log and reports whether they are in force. Thread-safe.
 *
 * A call blocks for at most the sum of the timeouts of [PublishLimits], plus the time of the calls to the log that are in
 * progress when a timeout passes.
 *
 * A publish reports [PublishResult.Refused] only when the log proves the refusal, when the patch can never be accepted, or
 * when nothing was sent to the log.
 */
class Publisher(
    private val log: PlatformLog,
    private val foldStateSource: FoldStateSource,
    private val inForceCounter: InForceCounter,
    private val timers: TimerService,
    private val random: Random,
    private val sleeper: Sleeper = Sleeper.SYSTEM,
    private val limits: PublishLimits = PublishLimits(),
) {
    private val sentPatches = SentPatches()

    /** Publishes the patch of [request] and waits for the outcome. */
    fun publish(request: PublishRequest): PublishResult {
        val follower = LogFollower(log, foldStateSource)
        val base = request.base ?: PatchBase(follower.state.version, follower.state.contentHash)
        val record = PatchRecord.of(base.version, base.contentHash, request.text, request.author)
        val id = PatchId.of(base.version, base.contentHash, request.text)
        if (base.version > follower.state.version) follower.poll(waitMs = 0)
        follower.outcomeOf(id)?.let { return resultOf(id, it) }
        findLocalRefusal(follower.state, base, request)?.let { return PublishResult.Refused(id.value, it, wasNeverSent(id, request)) }
        val blockingReason = findBlockingReason(follower, base)
        if (blockingReason != null) return notSentResult(id, request, blockingReason)
        val attempt = PublishAttempt(follower, sentPatches, timers, sleeper, Backoff(random), limits, record, id)
        val outcome = attempt.run()
        return when {
            outcome != null -> resultOf(id, outcome)
            attempt.mayHaveSent -> unknownResult(id, follower, attempt)
            else -> notSentResult(id, request, attempt.lastError?.message ?: "no append of the patch took effect")
        }
    }

    /** Reports the outcome of patch [id]. Reads the log at most once and does not wait for records. */
    fun status(id: PatchId): PublishResult {
        val follower = LogFollower(log, foldStateSource)
        follower.outcomeOf(id) ?: follower.poll(waitMs = 0)
        return resultOf(id, follower.outcomeOf(id) ?: PatchOutcome.NotKnownYet, inForceLimitMs = 0)
    }

    // A patch that is refused here would also be refused if it were appended, at any time: the content of the base version never
    // changes.
    private fun findLocalRefusal(
        state: FoldState,
        base: PatchBase,
        request: PublishRequest,
    ): String? {
        if (base.version != state.version) return null
        if (base.contentHash != state.contentHash) return "base hash is not that of version ${state.version}"
        val result = PatchParser.parse(request.text, request.file).flatMap { it.applyTo(state.content) }
        return (result as? Either.Left)?.value?.joinToString("\n")
    }

    private fun findBlockingReason(
        follower: LogFollower,
        base: PatchBase,
    ): String? =
        follower.blockingReason
            ?: "the node is only at version ${follower.state.version}".takeIf { base.version > follower.state.version }

    // A request with an explicit base may repeat a publish by another process, which may have sent the patch.
    private fun wasNeverSent(
        id: PatchId,
        request: PublishRequest,
    ): Boolean = request.base == null && !sentPatches.mayHaveSent(id)

    // An earlier append of the same patch against the same base may still take effect.
    private fun notSentResult(
        id: PatchId,
        request: PublishRequest,
        reason: String,
    ): PublishResult =
        if (wasNeverSent(id, request)) {
            PublishResult.Refused(id.value, reason, neverSent = true)
        } else {
            PublishResult.NotKnownYet(id.value, "this publish sent nothing ($reason), but an earlier publish of the patch may have")
        }

    private fun unknownResult(
        id: PatchId,
        follower: LogFollower,
        attempt: PublishAttempt,
    ) = PublishResult.NotKnownYet(
        id.value,
        follower.blockingReason ?: attempt.lastError?.message ?: "the outcome could not be read from the log in time",
    )

    private fun resultOf(
        id: PatchId,
        outcome: PatchOutcome,
        inForceLimitMs: Long = limits.inForceTimeoutMs,
    ): PublishResult =
        when (outcome) {
            is PatchOutcome.Accepted -> acceptedResult(id, outcome.version, inForceLimitMs)
            is PatchOutcome.Refused -> PublishResult.Refused(id.value, outcome.reason)
            PatchOutcome.NotKnownYet ->
                PublishResult.NotKnownYet(
                    id.value,
                    "the records read so far do not contain the outcome of the patch",
                )
            PatchOutcome.TooOldToTell -> PublishResult.NotKnownYet(id.value, "the patch is so old that its outcome is no longer kept")
        }

    private fun acceptedResult(
        id: PatchId,
        version: Long,
        limitMs: Long,
    ): PublishResult {
        val deadlineMs = timers.nowMs() + limitMs
        var count = inForceCounter.count(version)
        while (!count.isComplete && timers.nowMs() < deadlineMs) {
            sleeper.sleep(limits.inForcePollIntervalMs)
            count = inForceCounter.count(version)
        }
        return if (count.isComplete) {
            PublishResult.InForce(id.value, version, count.nodes)
        } else {
            PublishResult.PartlyInForce(id.value, version, count)
        }
    }
}
