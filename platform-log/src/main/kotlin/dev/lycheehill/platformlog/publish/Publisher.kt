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
 * Publishes patches and answers whether they are in force. Thread-safe; calls block for at most the sum of the limits.
 *
 * "Refused" is answered only when the log proves it, when the patch can never be accepted, or when nothing was sent.
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
    private val sent = SentPatches()

    /** Publishes the patch of [request] and waits for its outcome. */
    fun publish(request: PublishRequest): PublishResult {
        val follower = LogFollower(log, foldStateSource)
        val base = request.base ?: PatchBase(follower.state.version, follower.state.contentHash)
        val record = PatchRecord.of(base.version, base.contentHash, request.text, request.author)
        val id = PatchId.of(base.version, base.contentHash, request.text)
        if (base.version > follower.state.version) follower.poll(waitMs = 0)
        follower.outcomeOf(id)?.let { return answer(id, it) }
        checkLocally(follower.state, base, request)?.let { return PublishResult.Refused(id.value, it, isFirst(id, request)) }
        val obstacle = obstacle(follower, base)
        if (obstacle != null) return unsent(id, request, obstacle)
        val attempt = PublishAttempt(follower, sent, timers, sleeper, Backoff(random), limits, record, id)
        val outcome = attempt.run()
        return when {
            outcome != null -> answer(id, outcome)
            attempt.mayHaveSent -> unknown(id, follower, attempt)
            else -> unsent(id, request, attempt.lastError?.message ?: "the log did not accept it")
        }
    }

    /** Asks for the outcome of patch [id] once, without waiting. */
    fun status(id: PatchId): PublishResult {
        val follower = LogFollower(log, foldStateSource)
        follower.outcomeOf(id) ?: follower.poll(waitMs = 0)
        return answer(id, follower.outcomeOf(id) ?: PatchOutcome.NotKnownYet, inForceLimitMs = 0)
    }

    // These refusals hold for every copy of the patch: the base has this content forever.
    private fun checkLocally(
        state: FoldState,
        base: PatchBase,
        request: PublishRequest,
    ): String? {
        if (base.version != state.version) return null
        if (base.contentHash != state.contentHash) return "base hash is not that of version ${state.version}"
        val result = PatchParser.parse(request.text, request.file).flatMap { it.applyTo(state.content) }
        return (result as? Either.Left)?.value?.joinToString("\n")
    }

    private fun obstacle(
        follower: LogFollower,
        base: PatchBase,
    ): String? =
        follower.obstacle
            ?: "the node has version ${follower.state.version} only".takeIf { base.version > follower.state.version }

    private fun isFirst(
        id: PatchId,
        request: PublishRequest,
    ): Boolean = request.base == null && !sent.mayHaveSent(id)

    // A patch published before under the same base may still be on its way to the log.
    private fun unsent(
        id: PatchId,
        request: PublishRequest,
        reason: String,
    ): PublishResult =
        if (isFirst(id, request)) {
            PublishResult.Refused(id.value, reason, neverSent = true)
        } else {
            PublishResult.NotKnownYet(id.value, "this publish sent nothing ($reason), but an earlier one may have")
        }

    private fun unknown(
        id: PatchId,
        follower: LogFollower,
        attempt: PublishAttempt,
    ) = PublishResult.NotKnownYet(
        id.value,
        follower.obstacle ?: attempt.lastError?.message ?: "the outcome could not be read from the log in time",
    )

    private fun answer(
        id: PatchId,
        outcome: PatchOutcome,
        inForceLimitMs: Long = limits.inForceTimeoutMs,
    ): PublishResult =
        when (outcome) {
            is PatchOutcome.Accepted -> accepted(id, outcome.version, inForceLimitMs)
            is PatchOutcome.Refused -> PublishResult.Refused(id.value, outcome.reason)
            PatchOutcome.NotKnownYet -> PublishResult.NotKnownYet(id.value, "the log read so far does not contain its outcome")
            PatchOutcome.TooOldToTell -> PublishResult.NotKnownYet(id.value, "too old to tell")
        }

    private fun accepted(
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
