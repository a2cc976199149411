package dev.lycheehill.fleet.messenger

import dev.lycheehill.core.Verdict

/**
 * Failure of a [FleetMessenger.request].
 *
 * @property verdict whether the peer may have handled the request.
 */
data class MessengerError(
    val kind: Kind,
    val verdict: Verdict,
) {
    /** Cause of the failure. */
    enum class Kind { UNKNOWN_NODE, NOT_SENT, TIMEOUT, REFUSED, STOPPED }
}
