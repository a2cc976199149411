package dev.lycheehill.node.egress

import dev.lycheehill.core.Verdict
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Response of a call whose latest attempt brought no usable answer, if it is not tried again.
 *
 * @property arrived whether the request reached the backend server.
 * @property available whether the target takes calls at all.
 * @property serverError whether the backend server ran the request and answered with a server error.
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
    /** Status of the answer to a call with [verdict]. "Unavailable" would state that the call did not run. */
    fun statusFor(verdict: Verdict): HttpResponseStatus =
        if (verdict == Verdict.MAY_HAVE_RUN && status == HttpResponseStatus.SERVICE_UNAVAILABLE) HttpResponseStatus.BAD_GATEWAY else status
}
