package dev.lycheehill.core

import kotlinx.serialization.Serializable

/**
 * Execution outcome of a request: whether the request has run on a backend server.
 *
 * A request that is not idempotent may be sent to another target only after [NOT_RUN].
 */
@Serializable
enum class Verdict(
    /** Value of the `lycheehill-verdict` response header. */
    val headerValue: String,
) {
    /** No backend server started the request. */
    NOT_RUN("not-run"),

    /** A backend server completed the request. */
    RAN("ran"),

    /** The request was sent and its outcome is unknown. */
    MAY_HAVE_RUN("may-have-run"),
    ;

    companion object {
        /** Parses a header value. Returns [MAY_HAVE_RUN], the only safe result, for a missing or unknown value. */
        fun fromHeader(value: String?): Verdict = entries.firstOrNull { it.headerValue == value } ?: MAY_HAVE_RUN
    }
}
