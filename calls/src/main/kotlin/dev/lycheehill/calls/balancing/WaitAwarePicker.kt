package dev.lycheehill.calls.balancing

import java.util.SplittableRandom

/**
 * Chooses the target at which a call is expected to end first, and prefers the node's own [zone].
 *
 * It answers loads that differ by zone and by target: the expected time grows with the calls that a target holds, as its
 * node last reported them, corrected by what this node has sent since. A target in another zone must be faster by the
 * factor [WaitAwareSettings.crossZoneFactor], which is what crossing zones costs.
 *
 * A target gets no more calls at a time than the answers to the earlier ones allow (additive increase, multiplicative
 * decrease). So a node that has just started and is slow, and a machine that is cut off, hold few calls while the others are
 * full: what no target has room for is refused at once.
 *
 * A target whose node accepts no connection is left out for a time that doubles with each failure.
 *
 * All state is guarded by the lock of this object.
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
        val typicalNanos = typicalNanos()
        val up = untried.filter { it.isUp(nowNanos) }
        return if (up.isEmpty()) untried.minByOrNull { it.downUntilNanos - nowNanos } else best(up, nowNanos, typicalNanos)
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
        if (load == null) state.onNoAnswer(latencyNanos, typicalNanos())
        when (outcome) {
            AttemptOutcome.SUCCESS -> state.onAnswer(failed = false)
            AttemptOutcome.FAILURE -> state.onAnswer(failed = true)
            AttemptOutcome.UNREACHABLE -> state.onUnreachable(nowNanos)
            AttemptOutcome.SHED, AttemptOutcome.CANCELLED -> Unit
        }
    }

    private fun best(
        from: List<WaitAwareTarget>,
        nowNanos: Long,
        typicalNanos: Double,
    ): WaitAwareTarget? {
        var chosen: WaitAwareTarget? = null
        var least = Double.MAX_VALUE
        for (target in from) {
            if (!target.hasRoom) continue
            val zoneFactor = if (target.info.zone == zone) 1.0 else settings.crossZoneFactor
            // A random part keeps nodes with equal reports from choosing the same target at once.
            val cost = target.expectedNanos(nowNanos, typicalNanos) * zoneFactor * (1 + random.nextDouble() * settings.jitterShare)
            if (cost < least) {
                least = cost
                chosen = target
            }
        }
        return chosen
    }

    // Duration assumed for a target that has not reported one.
    private fun typicalNanos(): Double {
        var sum = 0.0
        var count = 0
        for (target in all) {
            if (target.serviceNanos <= 0) continue
            sum += target.serviceNanos
            count++
        }
        return if (count == 0) DEFAULT_NANOS else sum / count
    }

    private companion object {
        const val DEFAULT_NANOS = 1e6
    }
}
