package dev.lycheehill.standins.backend

/** Request headers that a [BackendStandIn] reads. */
object BackendHeaders {
    /** Key of the request in the [RunCounter]; `Idempotency-Key` counts when it is missing. */
    const val REQUEST_KEY = "x-request-key"

    /** `long` for a call that takes the time of long calls. */
    const val COST = "x-cost"

    /** Length of the response body in bytes. */
    const val RESPONSE_BYTES = "x-response-bytes"

    /** `crash` makes the server crash when it begins to run the request. */
    const val MARK = "x-mark"

    /** Status of the response. */
    const val STATUS = "x-status"
}
