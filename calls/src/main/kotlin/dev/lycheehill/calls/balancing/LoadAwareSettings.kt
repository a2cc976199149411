package dev.lycheehill.calls.balancing

/** Settings of [LoadAwarePicker]. */
data class LoadAwareSettings(
    /** Above this number of targets three are compared instead of two. */
    val threeChoicesAbove: Int = 8,
    /** Share of the local slots in use from which calls go to other zones too. */
    val spillOverShare: Double = 0.8,
    /** Time constant with which the peak latency decays towards lower samples. */
    val latencyDecayMs: Long = 1_000,
    /** Half-life of the latency of a target that gets no calls, so that a recovered one is tried again. */
    val idleHalfLifeMs: Long = 3_000,
    /** Half-life of the weight of a load report. */
    val reportHalfLifeMs: Long = 500,
    /** Weight of a fresh report against the node's own latency; below one half, so own observations outweigh it. */
    val freshReportWeight: Double = 0.4,
    val rampUpMs: Long = 10_000,
    val rampUpStartShare: Double = 0.1,
    val ejection: EjectionSettings = EjectionSettings(),
)
