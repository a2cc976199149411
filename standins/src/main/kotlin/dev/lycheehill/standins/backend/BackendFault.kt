package dev.lycheehill.standins.backend

/** Fault that a [BackendStandIn] injects into each response while the fault is active. */
enum class BackendFault {
    /** No fault. */
    NONE,

    /** Closes the connection after the call ran, without sending any byte of the response. */
    CLOSE_BEFORE_RESPONSE,

    /** Sends the status line, the headers and half of the body, then closes the connection. */
    CLOSE_MID_BODY,

    /** Sends a chunked body without the terminating chunk, then closes the connection. */
    TRUNCATED_CHUNKS,

    /** Sends a second complete response after the correct response. */
    OVER_LONG,

    /** Sends bytes that are not an HTTP message. */
    NOT_HTTP,

    /** Runs the call and sends no response on its connection; the server still accepts new connections. */
    SILENT,
}
