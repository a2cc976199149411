package dev.lycheehill.core

import kotlinx.serialization.Serializable

/**
 * States whether a request may have run on a backend server.
 *
 * A non-idempotent request may be sent to another target only after [NOT_RUN].
 */
@Serializable
enum class Verdict(
    /** Value of the `lycheehill-verdict` response header. */
    val headerValue: String,
) {
    /** No backend server started the request. */
    NOT_RUN("not-run"),

    /** A backend server ran the request to its end. */
    RAN("ran"),

    /** The request was sent and its outcome is unknown. */
    MAY_HAVE_RUN("may-have-run"),
    ;

    companion object {
        /** Parses a header value. A missing or unknown value reads as [MAY_HAVE_RUN], the only safe reading. */
        fun fromHeader(value: String?): Verdict = entries.firstOrNull { it.headerValue == value } ?: MAY_HAVE_RUN
    }
}
