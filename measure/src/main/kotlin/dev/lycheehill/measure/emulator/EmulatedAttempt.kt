package dev.lycheehill.measure.emulator

/** One attempt of [call] at a backend server's node; [end] receives its outcome once. */
internal class EmulatedAttempt(
    val call: EmulatedCall,
    val acceptsLate: Boolean,
    val startNanos: Long,
    private val end: (CallOutcome) -> Unit,
) {
    private var isEnded = false

    fun answer(succeeded: Boolean) = endOnce(CallOutcome(succeeded, arrived = true))

    fun refuse(
        retryAfterMs: Long,
        arrived: Boolean = false,
    ) = endOnce(CallOutcome(succeeded = false, isRefused = true, arrived = arrived, retryAfterMs = retryAfterMs))

    private fun endOnce(outcome: CallOutcome) {
        if (isEnded) return
        isEnded = true
        end(outcome)
    }
}
