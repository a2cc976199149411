package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Picker by the power of two choices (Mitzenmacher 2001): compares two or three random targets by the product of the estimated
 * latency and the calls in flight. Prefers the [zone] of this node, and ejects outliers.
 *
 * The lock of the picker guards the snapshot of targets and the ejections. A pick takes the lock only for a trial call.
 */
class LoadAwarePicker(
    private val zone: String,
    seed: Long,
    private val settings: LoadAwareSettings = LoadAwareSettings(),
) : TargetPicker {
    private val random = SeededRandom(seed)
    private val rules = settings.ejection

    @Volatile
    private var snapshot = TargetSnapshot(emptyArray(), zone)

    @Volatile
    private var medianNanos = DEFAULT_LATENCY_NANOS

    @Volatile
    private var lastReviewNanos = Long.MIN_VALUE

    /** Ids of the targets that are currently ejected. */
    val ejectedIds: List<String> get() = snapshot.ejected.map { it.info.id }

    @Synchronized
    override fun update(
        targets: List<TargetInfo>,
        nowNanos: Long,
    ) {
        val knownTargets = snapshot.all.associateBy { it.info.id }
        val states = targets.filter { it.weight > 0 }.map { knownTargets[it.id]?.apply { info = it } ?: LoadAwareTarget(it, settings) }
        states.filter { it.info.cold }.forEach { it.startRampUp(nowNanos) }
        snapshot = TargetSnapshot(states.toTypedArray(), zone)
        // The removal of healthy targets can raise the share of ejected targets above the maximum.
        while (snapshot.ejected.size > rules.maxEjected(snapshot.all.size)) readmit(snapshot.ejected.first(), nowNanos)
    }

    override fun find(id: String): TargetHandle? = snapshot.all.firstOrNull { it.info.id == id }

    override fun pick(
        nowNanos: Long,
        tried: Collection<String>,
    ): TargetHandle? {
        val current = snapshot
        if (current.ejected.isNotEmpty()) pickForTrial(current, nowNanos, tried)?.let { return it }
        val preferred = if (prefersLocal(current, nowNanos)) current.local else current.active
        return choose(current, preferred, nowNanos, tried)
            ?: choose(current, current.active, nowNanos, tried)
            ?: choose(current, current.active, nowNanos, emptyList())
    }

    override fun onStart(
        target: TargetHandle,
        nowNanos: Long,
    ) {
        (target as LoadAwareTarget).ownInFlight.incrementAndGet()
    }

    override fun onFinish(
        target: TargetHandle,
        nowNanos: Long,
        latencyNanos: Long,
        outcome: AttemptOutcome,
        load: LoadReport?,
    ) {
        val state = target as LoadAwareTarget
        state.ownInFlight.decrementAndGet()
        if (load != null) state.onReport(nowNanos, load)
        when (outcome) {
            AttemptOutcome.SUCCESS -> state.onSuccess(nowNanos, latencyNanos)
            AttemptOutcome.SHED -> state.onShed(nowNanos)
            AttemptOutcome.FAILURE, AttemptOutcome.UNREACHABLE -> state.onFailure(nowNanos, latencyNanos)
            AttemptOutcome.CANCELLED -> state.onCancelled(nowNanos, latencyNanos)
        }
        updateEjection(state, nowNanos, latencyNanos, outcome)
        if (nowNanos - lastReviewNanos >= rules.reviewPeriodMs * NANOS_PER_MILLI || lastReviewNanos == Long.MIN_VALUE) review(nowNanos)
    }

    private fun pickForTrial(
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
        // If each target was skipped because of its weight, for example when all targets are cold, the weights are ignored.
        return choose(CandidateSampler(current, from, nowNanos, tried), from, nowNanos)
            ?: choose(CandidateSampler(null, from, nowNanos, tried), from, nowNanos)
    }

    private fun choose(
        sampler: CandidateSampler,
        from: Array<LoadAwareTarget>,
        nowNanos: Long,
    ): LoadAwareTarget? {
        val first = sampler.next(-1, -1)
        if (first < 0) return null
        val second = sampler.next(first, -1)
        if (second < 0) return from[first]
        val better = indexOfLowerScore(from, first, second, nowNanos)
        if (from.size <= settings.threeChoicesAbove) return from[better]
        val third = sampler.next(first, second)
        return if (third < 0) from[better] else from[indexOfLowerScore(from, better, third, nowNanos)]
    }

    private fun indexOfLowerScore(
        from: Array<LoadAwareTarget>,
        one: Int,
        other: Int,
        nowNanos: Long,
    ): Int = if (from[other].score(nowNanos, medianNanos) < from[one].score(nowNanos, medianNanos)) other else one

    private fun updateEjection(
        state: LoadAwareTarget,
        nowNanos: Long,
        latencyNanos: Long,
        outcome: AttemptOutcome,
    ) {
        val failed = outcome == AttemptOutcome.FAILURE || outcome == AttemptOutcome.UNREACHABLE
        if (!failed && outcome != AttemptOutcome.SUCCESS) return
        if (!failed && !state.ejection.isAffectedBySuccess()) return
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

    // Updates the median latency of the targets and ejects slow targets.
    @Synchronized
    private fun review(nowNanos: Long) {
        lastReviewNanos = nowNanos
        val all = snapshot.all
        for (state in all) state.endRampUpIfDone(nowNanos)
        val sortedMediansNanos = all.filter { it.medianEstimateNanos > 0 && !it.ejection.isEjected }.map { it.medianEstimateNanos }.sorted()
        if (sortedMediansNanos.isEmpty()) return
        // The lower median, so that the faster one of two targets is the reference.
        medianNanos = sortedMediansNanos[(sortedMediansNanos.size - 1) / 2]
        all.filter { it.samples >= rules.minSamples && isSlow(it.medianEstimateNanos) }.forEach { ejectIfAllowed(it, nowNanos) }
    }

    private fun isSlow(latencyNanos: Double): Boolean =
        latencyNanos > medianNanos * rules.latencyRatio &&
            latencyNanos - medianNanos > rules.latencyExcessMs * NANOS_PER_MILLI

    private fun ejectIfAllowed(
        state: LoadAwareTarget,
        nowNanos: Long,
    ) {
        if (state.ejection.isEjected || state !in snapshot.all) return
        if (snapshot.ejected.size >= rules.maxEjected(snapshot.all.size)) return
        state.ejection.eject(nowNanos)
        snapshot = TargetSnapshot(snapshot.all, zone)
    }

    private fun readmitAfterTrial(
        state: LoadAwareTarget,
        nowNanos: Long,
        latencyNanos: Long,
    ) {
        state.resetLatency(nowNanos, latencyNanos)
        readmit(state, nowNanos)
    }

    private fun readmit(
        state: LoadAwareTarget,
        nowNanos: Long,
    ) {
        state.ejection.readmit(nowNanos)
        snapshot = TargetSnapshot(snapshot.all, zone)
    }

    /**
     * Draws distinct random targets of [from] that are not in [tried]. The smaller the weight of a target is compared with the largest
     * weight in the snapshot [weights], the more often the target is skipped. The weights are ignored if [weights] is null.
     */
    private inner class CandidateSampler(
        private val weights: TargetSnapshot?,
        private val from: Array<LoadAwareTarget>,
        private val nowNanos: Long,
        private val tried: Collection<String>,
    ) {
        /** Returns the index of a target other than [first] and [second], or -1 if there is none. An argument of -1 excludes no target. */
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
            return share >= 1.0 || random.nextDouble() < acceptanceProbability(share)
        }

        // A target that gets few calls wins most comparisons and is chosen almost each time it is drawn. A small share is therefore
        // divided by the number of choices; the divisor approaches 1 for a share of 1.
        private fun acceptanceProbability(share: Double): Double {
            val choices = if (from.size > settings.threeChoicesAbove) 3 else 2
            return share * (1 + (choices - 1) * share) / choices
        }
    }

    private companion object {
        const val DEFAULT_LATENCY_NANOS = 1.0 * NANOS_PER_MILLI
    }
}
