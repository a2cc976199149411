package dev.lycheehill.fleet.membership

/** Detects pauses of the process by gaps between ticks. */
internal class PauseDetector(
    private val leaseMs: Long,
) {
    private var lastTickMs: Long? = null

    /** Returns whether more than [leaseMs] has passed since the previous tick. */
    fun onTick(nowMs: Long): Boolean {
        val gapMs = nowMs - (lastTickMs ?: nowMs)
        lastTickMs = nowMs
        return gapMs > leaseMs
    }
}
