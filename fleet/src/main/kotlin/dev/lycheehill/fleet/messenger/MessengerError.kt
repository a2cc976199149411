package dev.lycheehill.fleet.messenger

import dev.lycheehill.core.Verdict

/**
 * Error of a [FleetMessenger.request].
 *
 * @property kind cause of the error.
 * @property verdict whether the peer may have handled the request.
 */
data class MessengerError(
    val kind: Kind,
    val verdict: Verdict,
) {
    /** Cause of a [MessengerError]. */
    enum class Kind { UNKNOWN_NODE, NOT_SENT, TIMEOUT, REFUSED, STOPPED }
}
