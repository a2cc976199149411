package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/** Stage that an attempt had reached when it ended. */
enum class AttemptStage {
    /** No target was chosen, a limit or the queue refused the call, or the deadline passed before the request was sent. */
    NOT_SENT,

    /** The connection was refused, or could not be opened in time. */
    CONNECT_REFUSED,

    /** The connection closed before a byte of the request was written to it. */
    CLOSED_BEFORE_WRITE,

    /** A part of the request was written, and no complete response arrived. */
    PARTLY_WRITTEN,

    /** The whole request was written, and no complete response arrived. */
    WRITTEN,

    /** The complete response of the backend server arrived. */
    WHOLE_ANSWER,

    /** The node of the target responded itself, with the verdict in the header `lycheehill-verdict`. */
    NODE_ANSWER,
    ;

    /**
     * Returns the verdict on an attempt that ended at this stage.
     *
     * [nodeHeader] is the value of the header `lycheehill-verdict` of the response. The value is used for [NODE_ANSWER] only, where a
     * missing or unknown value gives [Verdict.MAY_HAVE_RUN].
     */
    fun verdict(nodeHeader: String? = null): Verdict =
        when (this) {
            NOT_SENT, CONNECT_REFUSED, CLOSED_BEFORE_WRITE -> Verdict.NOT_RUN
            PARTLY_WRITTEN, WRITTEN -> Verdict.MAY_HAVE_RUN
            WHOLE_ANSWER -> Verdict.RAN
            NODE_ANSWER -> Verdict.fromHeader(nodeHeader)
        }
}
