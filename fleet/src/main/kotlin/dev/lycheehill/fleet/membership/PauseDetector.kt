package dev.lycheehill.fleet.membership

/** Finds pauses of the process from gaps between its ticks. */
internal class PauseDetector(
    private val leaseMs: Long,
) {
    private var lastTickMs: Long? = null

    /** Returns whether more than a lease has passed since the previous tick. */
    fun onTick(nowMs: Long): Boolean {
        val gapMs = nowMs - (lastTickMs ?: nowMs)
        lastTickMs = nowMs
        return gapMs > leaseMs
    }
}
