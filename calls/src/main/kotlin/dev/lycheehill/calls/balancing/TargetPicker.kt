package dev.lycheehill.calls.balancing

/**
 * Chooses the target of each attempt of one service on one node. Implementations are thread-safe.
 *
 * Each picked handle that is used goes through one [onStart] and one [onFinish].
 */
interface TargetPicker {
    /** Replaces the targets. Statistics of targets that remain are kept; a picked handle stays usable. */
    fun update(
        targets: List<TargetInfo>,
        nowNanos: Long,
    )

    /**
     * Chooses a target, or returns null when there is none. Targets with an id in [tried] are not chosen, unless all
     * others are unavailable.
     */
    fun pick(
        nowNanos: Long,
        tried: Collection<String> = emptyList(),
    ): TargetHandle?

    /** Returns the target with [id], or null when it is not known. For calls that may run at one target only. */
    fun find(id: String): TargetHandle?

    /** Records that an attempt begins. */
    fun onStart(
        target: TargetHandle,
        nowNanos: Long,
    )

    /** Records that an attempt ended after [latencyNanos], with the [load] that its response carried. */
    fun onFinish(
        target: TargetHandle,
        nowNanos: Long,
        latencyNanos: Long,
        outcome: AttemptOutcome,
        load: LoadReport? = null,
    )
}
