package dev.lycheehill.node.egress

import dev.lycheehill.core.Verdict
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Failure of the latest attempt of a call, and the failure response that the caller gets if the call is not retried.
 *
 * @property repeatable whether the failure permits a retry of the call.
 * @property retryAfterMs shortest retry delay that the targets tried so far have stated, in milliseconds; null if none has stated one.
 * @property arrived whether the request reached the backend server.
 * @property available whether the target accepts calls at all.
 * @property serverError whether the backend server executed the request and responded with a server error.
 */
internal class CallFailure(
    val verdict: Verdict,
    val status: HttpResponseStatus,
    val reason: String,
    val repeatable: Boolean = true,
    val retryAfterMs: Long? = null,
    val arrived: Boolean = true,
    val available: Boolean = true,
    val serverError: Boolean = false,
) {
    /** Returns the status of the failure response. Replaces 503, which states that the call did not run, if [verdict] says it may have. */
    fun statusFor(verdict: Verdict): HttpResponseStatus =
        if (verdict == Verdict.MAY_HAVE_RUN && status == HttpResponseStatus.SERVICE_UNAVAILABLE) HttpResponseStatus.BAD_GATEWAY else status
}
