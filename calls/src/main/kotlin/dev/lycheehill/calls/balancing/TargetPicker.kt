package dev.lycheehill.calls.balancing

/**
 * Chooses the target of each attempt of a call to one service from one node. Implementations are thread-safe.
 *
 * For each attempt, [onStart] and then [onFinish] are called once with the picked handle. Times named `nowNanos` are in nanoseconds of
 * the monotonic clock of the node.
 */
interface TargetPicker {
    /** Replaces the list of targets. Statistics of remaining targets are kept, and handles that have been picked stay usable. */
    fun update(
        targets: List<TargetInfo>,
        nowNanos: Long,
    )

    /**
     * Chooses a target, or returns null if there is none. Avoids targets whose ids are in [tried]; whether such a target is
     * chosen when no other target is available depends on the implementation.
     */
    fun pick(
        nowNanos: Long,
        tried: Collection<String> = emptyList(),
    ): TargetHandle?

    /** Returns the target with [id], or null if the target is unknown. Used for calls that may run at one target only. */
    fun find(id: String): TargetHandle?

    /** Records the start of an attempt at [target]. */
    fun onStart(
        target: TargetHandle,
        nowNanos: Long,
    )

    /** Records the end of an attempt at [target] after [latencyNanos]. [load] is the report on the response; null without a report. */
    fun onFinish(
        target: TargetHandle,
        nowNanos: Long,
        latencyNanos: Long,
        outcome: AttemptOutcome,
        load: LoadReport? = null,
    )
}
