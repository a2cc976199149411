package dev.lycheehill.calls.balancing

/** Settings of [LoadAwarePicker]. */
data class LoadAwareSettings(
    /** Number of targets above which three random targets are compared instead of two. */
    val threeChoicesAbove: Int = 8,
    /** Share of the slots of the own zone in use above which calls also go to other zones. */
    val spillOverShare: Double = 0.8,
    /** Time constant with which the peak latency decays towards lower samples. */
    val latencyDecayMs: Long = 1_000,
    /** Half-life of the excess latency of a target that gets no calls, so that a recovered target is tried again. */
    val idleHalfLifeMs: Long = 3_000,
    /** Half-life of the weight of a load report. */
    val reportHalfLifeMs: Long = 500,
    /** Weight of a fresh report against the latency measured by this node. Below one half, so that own measurements outweigh the report. */
    val freshReportWeight: Double = 0.4,
    /** Duration of the ramp-up of a cold target. */
    val rampUpMs: Long = 10_000,
    /** Share of its weight that a cold target gets at the start of the ramp-up. */
    val rampUpStartShare: Double = 0.1,
    val ejection: EjectionSettings = EjectionSettings(),
)
