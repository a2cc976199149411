package dev.lycheehill.node.upstream

import dev.lycheehill.core.Verdict

/** Failure of an exchange: the response is missing or incomplete. */
internal data class ExchangeFailure(
    val verdict: Verdict,
    val kind: Kind,
) {
    /**
     * Cause of the failure.
     *
     * @property reason value of the reason header.
     */
    enum class Kind(
        val reason: String,
    ) {
        CONNECT("connect-failed"),
        TOO_MANY_CONNECTIONS("connection-limit"),
        CLOSED("connection-closed"),
        TRUNCATED("truncated-response"),
        BAD_RESPONSE("bad-response"),
        SILENT("silent-connection"),
    }
}
