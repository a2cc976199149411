package dev.lycheehill.standins.backend

/** Fault that a [BackendStandIn] shows in the answer of each call while it is switched on. */
enum class BackendFault {
    /** No fault. */
    NONE,

    /** Closes the connection after the call ran, without a byte of the response. */
    CLOSE_BEFORE_RESPONSE,

    /** Sends the head and half of the body, then closes. */
    CLOSE_MID_BODY,

    /** Sends a chunked body without its last chunk, then closes. */
    TRUNCATED_CHUNKS,

    /** Sends a whole further response after the right one. */
    OVER_LONG,

    /** Sends bytes that are not HTTP. */
    NOT_HTTP,

    /** Runs the call and never answers on the connection again, while new connections work. */
    SILENT,
}
