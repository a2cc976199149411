package dev.lycheehill.calls.balancing

import java.util.SplittableRandom

/**
 * Picker by the least expected time: chooses the target at which a call is expected to end first. Prefers the [zone] of this node.
 *
 * The load may differ between zones and targets. The expected time therefore grows with the calls in flight at a target: the
 * calls that the node of the target last reported, corrected by those that this node has sent since. A target in another zone
 * must be faster by the factor [WaitAwareSettings.crossZoneFactor], because traffic between zones costs money.
 *
 * A concurrency window bounds the calls of this node in flight at each target (additive increase, multiplicative decrease). A
 * target whose node has just started and is slow, or whose machine is not reachable over the network, therefore gets few calls, even
 * while the windows of all other targets are full. If no target has a free place in its window, [pick] returns null and the call is
 * refused immediately.
 *
 * A target whose node accepts no connection is left out for a backoff that doubles with each failure. If all untried targets are in
 * backoff, the target whose backoff ends first is chosen.
 *
 * The lock of this object guards all state.
 */
class WaitAwarePicker(
    private val zone: String,
    seed: Long,
    private val settings: WaitAwareSettings = WaitAwareSettings(),
) : TargetPicker {
    private val random = SplittableRandom(seed)
    private val byId = LinkedHashMap<String, WaitAwareTarget>()
    private var all: List<WaitAwareTarget> = emptyList()

    @Synchronized
    override fun update(
        targets: List<TargetInfo>,
        nowNanos: Long,
    ) {
        val ids = targets.mapTo(HashSet()) { it.id }
        byId.keys.retainAll(ids)
        for (info in targets) {
            val known = byId[info.id]
            if (known == null || known.info.address != info.address || known.info.bootId != info.bootId) {
                byId[info.id] = WaitAwareTarget(info, settings)
            } else {
                known.info = info
            }
        }
        all = byId.values.toList()
    }

    @Synchronized
    override fun pick(
        nowNanos: Long,
        tried: Collection<String>,
    ): TargetHandle? {
        val untried = if (tried.isEmpty()) all else all.filter { it.info.id !in tried }
        val meanDurationNanos = meanDurationNanos()
        // Targets that are not in backoff.
        val up = untried.filter { it.isBackoffOver(nowNanos) }
        return if (up.isEmpty()) untried.minByOrNull { it.backoffUntilNanos - nowNanos } else leastExpected(up, nowNanos, meanDurationNanos)
    }

    @Synchronized
    override fun find(id: String): TargetHandle? = byId[id]

    @Synchronized
    override fun onStart(
        target: TargetHandle,
        nowNanos: Long,
    ) {
        (target as WaitAwareTarget).onStart(nowNanos)
    }

    @Synchronized
    override fun onFinish(
        target: TargetHandle,
        nowNanos: Long,
        latencyNanos: Long,
        outcome: AttemptOutcome,
        load: LoadReport?,
    ) {
        val state = target as WaitAwareTarget
        state.onEnd(nowNanos, answered = load != null)
        load?.let { state.onReport(it, nowNanos) }
        if (load == null) state.onNoAnswer(latencyNanos, meanDurationNanos())
        when (outcome) {
            AttemptOutcome.SUCCESS -> state.onAnswer(failed = false)
            AttemptOutcome.FAILURE -> state.onAnswer(failed = true)
            AttemptOutcome.UNREACHABLE -> state.onUnreachable(nowNanos)
            AttemptOutcome.SHED, AttemptOutcome.CANCELLED -> Unit
        }
    }

    private fun leastExpected(
        from: List<WaitAwareTarget>,
        nowNanos: Long,
        meanDurationNanos: Double,
    ): WaitAwareTarget? {
        var chosen: WaitAwareTarget? = null
        var lowestScore = Double.MAX_VALUE
        for (target in from) {
            if (!target.isBelowWindow) continue
            val zoneFactor = if (target.info.zone == zone) 1.0 else settings.crossZoneFactor
            // Jitter keeps nodes with equal reports from choosing the same target at the same time.
            val score = target.expectedNanos(nowNanos, meanDurationNanos) * zoneFactor * (1 + random.nextDouble() * settings.jitterShare)
            if (score < lowestScore) {
                lowestScore = score
                chosen = target
            }
        }
        return chosen
    }

    // Mean of the reported durations, assumed for a target that has not reported any.
    private fun meanDurationNanos(): Double {
        var sum = 0.0
        var count = 0
        for (target in all) {
            if (target.durationNanos <= 0) continue
            sum += target.durationNanos
            count++
        }
        return if (count == 0) DEFAULT_DURATION_NANOS else sum / count
    }

    private companion object {
        const val DEFAULT_DURATION_NANOS = 1e6
    }
}
