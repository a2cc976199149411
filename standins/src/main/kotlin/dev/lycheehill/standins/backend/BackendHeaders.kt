package dev.lycheehill.standins.backend

/** Names of the request headers by which a caller controls a [BackendStandIn]. */
object BackendHeaders {
    /** Key of the request in the [RunCounter]. Defaults to the header `Idempotency-Key`, then to the path. */
    const val REQUEST_KEY = "x-request-key"

    /** Cost class: `long` selects the service time of long calls, any other value the service time of short calls. */
    const val COST = "x-cost"

    /** Size of the response body in bytes. */
    const val RESPONSE_BYTES = "x-response-bytes"

    /** Fault to inject: `crash` makes the server crash as soon as the request starts to run. */
    const val FAULT = "x-mark"

    /** HTTP status of the response; 200 by default. */
    const val STATUS = "x-status"
}
