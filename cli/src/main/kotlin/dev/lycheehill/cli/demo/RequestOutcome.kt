package dev.lycheehill.cli.demo

/** Final outcome of one request as its caller sees it, after all retries. */
enum class RequestOutcome {
    /** The caller got the complete response to its own request, or the information that the request ran. */
    SUCCEEDED,

    /** All responses until the timeout had the verdict `not run`. */
    NOT_RUN,

    /** The request may have run, and no retry until the timeout told whether it ran. */
    MAY_HAVE_RUN,

    /** Any other failure, such as an error response of the backend server. */
    FAILED,

    /** The response belongs to another request or is incomplete. */
    WRONG_RESPONSE,
}
