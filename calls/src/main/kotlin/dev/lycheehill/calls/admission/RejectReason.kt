package dev.lycheehill.calls.admission

/** Reason for which a call was not admitted. [headerValue] is sent in the header `lycheehill-reason`. */
enum class RejectReason(
    val headerValue: String,
) {
    QUEUE_FULL("queue-full"),

    /** The call would not end in time because of the expected wait, or has waited too long. */
    QUEUE_TIME("queue-time"),

    /** The call would not end in time because of the limit on the rate of requests that the backend server states. */
    RATE_LIMIT("rate-limit"),
    DEADLINE("deadline"),
    DRAINING("draining"),
}
