package dev.lycheehill.measure.emulator

/**
 * One attempt of [call] at the node of a backend server. Passes its outcome to [onEnd] exactly once; later outcomes are
 * ignored.
 *
 * @property acceptsLate whether the caller prefers a response after the aim to a refusal.
 * @property startNanos time at which the attempt reached the node of the backend server.
 */
internal class EmulatedAttempt(
    val call: EmulatedCall,
    val acceptsLate: Boolean,
    val startNanos: Long,
    private val onEnd: (CallOutcome) -> Unit,
) {
    private var isEnded = false

    fun respond(succeeded: Boolean) = complete(CallOutcome(succeeded, arrived = true))

    fun refuse(
        retryAfterMs: Long,
        arrived: Boolean = false,
    ) = complete(CallOutcome(succeeded = false, isRefused = true, arrived = arrived, retryAfterMs = retryAfterMs))

    private fun complete(outcome: CallOutcome) {
        if (isEnded) return
        isEnded = true
        onEnd(outcome)
    }
}
