package dev.lycheehill.measure.emulator

/**
 * Outcome of an emulated call or attempt, as its caller sees it.
 *
 * @property isRefused whether the call was refused without being executed.
 * @property arrived whether the call is known to have reached a backend server, which executed it or refused it.
 * @property retryAfterMs time in milliseconds after which a refused caller may retry, or null if no time was given.
 */
internal data class CallOutcome(
    val succeeded: Boolean,
    val isRefused: Boolean = false,
    val arrived: Boolean = false,
    val retryAfterMs: Long? = null,
)
