package dev.lycheehill.measure.emulator

/**
 * How an emulated call ended for its caller.
 *
 * @property isRefused whether the call has not run.
 * @property arrived whether a backend server itself refused it.
 * @property retryAfterMs when a refused caller may come back.
 */
internal data class CallOutcome(
    val succeeded: Boolean,
    val isRefused: Boolean = false,
    val arrived: Boolean = false,
    val retryAfterMs: Long? = null,
)
