package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/** How far one attempt came before it ended. */
enum class AttemptStage {
    /** No target was chosen, a limit or the queue refused the call, or its deadline had passed before sending. */
    NOT_SENT,

    /** The connection was refused, or could not be opened in time. */
    CONNECT_REFUSED,

    /** The connection closed before a byte of the request was written to it. */
    CLOSED_BEFORE_WRITE,

    /** A part of the request was written; no whole response arrived. */
    PARTLY_WRITTEN,

    /** The whole request was written; no whole response arrived. */
    WRITTEN,

    /** The whole response of the backend server arrived. */
    WHOLE_ANSWER,

    /** The target's node answered, and its `lycheehill-verdict` header states the verdict. */
    NODE_ANSWER,
    ;

    /**
     * Verdict of an attempt that ended at this stage.
     *
     * [nodeHeader] is the `lycheehill-verdict` header of the answer, and counts only for [NODE_ANSWER]. There a
     * missing or unknown value reads as [Verdict.MAY_HAVE_RUN].
     */
    fun verdict(nodeHeader: String? = null): Verdict =
        when (this) {
            NOT_SENT, CONNECT_REFUSED, CLOSED_BEFORE_WRITE -> Verdict.NOT_RUN
            PARTLY_WRITTEN, WRITTEN -> Verdict.MAY_HAVE_RUN
            WHOLE_ANSWER -> Verdict.RAN
            NODE_ANSWER -> Verdict.fromHeader(nodeHeader)
        }
}
