package dev.lycheehill.cli.demo

/** End of one request as its caller sees it, after all repetitions. */
enum class RequestOutcome {
    /** The caller has the whole response to its own request, or the statement that the request ran. */
    SUCCEEDED,

    /** Every answer was `not run` until the caller's time was up. */
    NOT_RUN,

    /** The last answer was `may have run`: the caller may not send the request again. */
    MAY_HAVE_RUN,

    /** Any other end, such as an error of the backend server or no node that answers. */
    FAILED,

    /** The response belongs to another request or is not whole. */
    WRONG_RESPONSE,
}
