package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Compares two or three random targets by estimated latency times calls in flight (Mitzenmacher 2001), prefers the
 * node's own [zone], and ejects outliers.
 *
 * The lock of the picker guards the table and the ejections; a pick takes it only for a trial call.
 */
class LoadAwarePicker(
    private val zone: String,
    seed: Long,
    private val settings: LoadAwareSettings = LoadAwareSettings(),
) : TargetPicker {
    private val random = SeededRandom(seed)
    private val rules = settings.ejection

    @Volatile
    private var table = TargetSnapshot(emptyArray(), zone)

    @Volatile
    private var medianNanos = DEFAULT_LATENCY_NANOS

    @Volatile
    private var lastReviewNanos = Long.MIN_VALUE

    /** Ids of the targets that are ejected now. */
    val ejectedIds: List<String> get() = table.ejected.map { it.info.id }

    @Synchronized
    override fun update(
        targets: List<TargetInfo>,
        nowNanos: Long,
    ) {
        val known = table.all.associateBy { it.info.id }
        val states = targets.filter { it.weight > 0 }.map { known[it.id]?.apply { info = it } ?: LoadAwareTarget(it, settings) }
        states.filter { it.info.cold }.forEach { it.startRampUp(nowNanos) }
        table = TargetSnapshot(states.toTypedArray(), zone)
        // Targets that left the table may have been what kept the share of ejected ones within its bound.
        while (table.ejected.size > rules.maxEjected(table.all.size)) readmit(table.ejected.first(), nowNanos)
    }

    override fun find(id: String): TargetHandle? = table.all.firstOrNull { it.info.id == id }

    override fun pick(
        nowNanos: Long,
        tried: Collection<String>,
    ): TargetHandle? {
        val current = table
        if (current.ejected.isNotEmpty()) trial(current, nowNanos, tried)?.let { return it }
        val preferred = if (prefersLocal(current, nowNanos)) current.local else current.active
        return choose(current, preferred, nowNanos, tried)
            ?: choose(current, current.active, nowNanos, tried)
            ?: choose(current, current.active, nowNanos, emptyList())
    }

    override fun onStart(
        target: TargetHandle,
        nowNanos: Long,
    ) {
        (target as LoadAwareTarget).own.incrementAndGet()
    }

    override fun onFinish(
        target: TargetHandle,
        nowNanos: Long,
        latencyNanos: Long,
        outcome: AttemptOutcome,
        load: LoadReport?,
    ) {
        val state = target as LoadAwareTarget
        state.own.decrementAndGet()
        if (load != null) state.onReport(nowNanos, load)
        when (outcome) {
            AttemptOutcome.SUCCESS -> state.onSuccess(nowNanos, latencyNanos)
            AttemptOutcome.SHED -> state.onShed(nowNanos)
            AttemptOutcome.FAILURE, AttemptOutcome.UNREACHABLE -> state.onFailure(nowNanos, latencyNanos)
            AttemptOutcome.CANCELLED -> state.onCancelled(nowNanos, latencyNanos)
        }
        judge(state, nowNanos, latencyNanos, outcome)
        if (nowNanos - lastReviewNanos >= rules.reviewPeriodMs * NANOS_PER_MILLI || lastReviewNanos == Long.MIN_VALUE) review(nowNanos)
    }

    private fun trial(
        current: TargetSnapshot,
        nowNanos: Long,
        tried: Collection<String>,
    ): LoadAwareTarget? {
        val due = current.ejected.firstOrNull { it.ejection.mayClaimTrial(nowNanos) && it.info.id !in tried } ?: return null
        return synchronized(this) { due.takeIf { it.ejection.claimTrial(nowNanos) } }
    }

    private fun prefersLocal(
        current: TargetSnapshot,
        nowNanos: Long,
    ): Boolean {
        if (current.local.isEmpty()) return false
        var inFlight = 0.0
        for (state in current.local) inFlight += state.inFlight(nowNanos)
        return inFlight <= settings.spillOverShare * current.localSlots
    }

    private fun choose(
        current: TargetSnapshot,
        from: Array<LoadAwareTarget>,
        nowNanos: Long,
        tried: Collection<String>,
    ): LoadAwareTarget? {
        // When each target was passed over for its weight, as when all are cold, the weights do not matter.
        return choose(Draw(current, from, nowNanos, tried), from, nowNanos)
            ?: choose(Draw(null, from, nowNanos, tried), from, nowNanos)
    }

    private fun choose(
        draw: Draw,
        from: Array<LoadAwareTarget>,
        nowNanos: Long,
    ): LoadAwareTarget? {
        val first = draw.next(-1, -1)
        if (first < 0) return null
        val second = draw.next(first, -1)
        if (second < 0) return from[first]
        val better = better(from, first, second, nowNanos)
        if (from.size <= settings.threeChoicesAbove) return from[better]
        val third = draw.next(first, second)
        return if (third < 0) from[better] else from[better(from, better, third, nowNanos)]
    }

    private fun better(
        from: Array<LoadAwareTarget>,
        one: Int,
        other: Int,
        nowNanos: Long,
    ): Int = if (from[other].score(nowNanos, medianNanos) < from[one].score(nowNanos, medianNanos)) other else one

    private fun judge(
        state: LoadAwareTarget,
        nowNanos: Long,
        latencyNanos: Long,
        outcome: AttemptOutcome,
    ) {
        val failed = outcome == AttemptOutcome.FAILURE || outcome == AttemptOutcome.UNREACHABLE
        if (!failed && outcome != AttemptOutcome.SUCCESS) return
        if (!failed && !state.ejection.needsSuccess()) return
        synchronized(this) {
            val decides = state.ejection.isEjected && state.ejection.decidesTrial(nowNanos - latencyNanos)
            when {
                decides && (failed || isSlow(latencyNanos.toDouble())) -> state.ejection.eject(nowNanos)
                decides -> readmitAfterTrial(state, nowNanos, latencyNanos)
                failed && state.ejection.onFailure() -> ejectIfAllowed(state, nowNanos)
                !failed -> state.ejection.onSuccess()
            }
        }
    }

    @Synchronized
    private fun review(nowNanos: Long) {
        lastReviewNanos = nowNanos
        val all = table.all
        for (state in all) state.endRampUpIfDone(nowNanos)
        val known = all.filter { it.typicalNanos > 0 && !it.ejection.isEjected }.map { it.typicalNanos }.sorted()
        if (known.isEmpty()) return
        // The lower median, so that in a pair the faster target is the measure.
        medianNanos = known[(known.size - 1) / 2]
        all.filter { it.samples >= rules.minSamples && isSlow(it.typicalNanos) }.forEach { ejectIfAllowed(it, nowNanos) }
    }

    private fun isSlow(latencyNanos: Double): Boolean =
        latencyNanos > medianNanos * rules.latencyRatio &&
            latencyNanos - medianNanos > rules.latencyExcessMs * NANOS_PER_MILLI

    private fun ejectIfAllowed(
        state: LoadAwareTarget,
        nowNanos: Long,
    ) {
        if (state.ejection.isEjected || state !in table.all) return
        if (table.ejected.size >= rules.maxEjected(table.all.size)) return
        state.ejection.eject(nowNanos)
        table = TargetSnapshot(table.all, zone)
    }

    private fun readmitAfterTrial(
        state: LoadAwareTarget,
        nowNanos: Long,
        latencyNanos: Long,
    ) {
        state.restart(nowNanos, latencyNanos)
        readmit(state, nowNanos)
    }

    private fun readmit(
        state: LoadAwareTarget,
        nowNanos: Long,
    ) {
        state.ejection.readmit(nowNanos)
        table = TargetSnapshot(table.all, zone)
    }

    /**
     * Draws distinct targets that are not in [tried]. A target with less than the full weight of [weights] is passed
     * over at random.
     */
    private inner class Draw(
        private val weights: TargetSnapshot?,
        private val from: Array<LoadAwareTarget>,
        private val nowNanos: Long,
        private val tried: Collection<String>,
    ) {
        fun next(
            first: Int,
            second: Int,
        ): Int {
            if (from.isEmpty()) return -1
            val start = if (first >= 0 && from.size > 1) first + 1 + random.nextInt(from.size - 1) else random.nextInt(from.size)
            for (step in from.indices) {
                val index = (start + step) % from.size
                if (index != first && index != second && accepts(from[index])) return index
            }
            return -1
        }

        private fun accepts(state: LoadAwareTarget): Boolean {
            if (tried.isNotEmpty() && state.info.id in tried) return false
            if (weights == null) return true
            val share = state.rampShare(nowNanos) * state.info.weight / weights.maxWeight
            return share >= 1.0 || random.nextDouble() < drawChance(share)
        }

        // A target with few calls wins most of its comparisons, so a small share counts once and not once per choice.
        private fun drawChance(share: Double): Double {
            val choices = if (from.size > settings.threeChoicesAbove) 3 else 2
            return share * (1 + (choices - 1) * share) / choices
        }
    }

    private companion object {
        const val DEFAULT_LATENCY_NANOS = 1.0 * NANOS_PER_MILLI
    }
}
