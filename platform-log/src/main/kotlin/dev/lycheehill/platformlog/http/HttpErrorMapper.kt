package dev.lycheehill.platformlog.http

import dev.lycheehill.core.Verdict
import dev.lycheehill.http.HttpResult
import dev.lycheehill.platformlog.LogError
import java.io.IOException
import java.net.ConnectException
import java.net.SocketTimeoutException

/** Maps failures of HTTP calls to [LogError]. The verdicts are those of an append; a read overrides them. */
internal object HttpErrorMapper {
    private const val MS_PER_S = 1_000L

    fun toLogError(failure: IOException): LogError =
        when (failure) {
            is ConnectException -> LogError(LogError.Kind.UNAVAILABLE, Verdict.NOT_RUN, "no connection to the log: ${failure.message}")
            is SocketTimeoutException -> LogError(LogError.Kind.TIMEOUT, Verdict.MAY_HAVE_RUN, "the log did not respond in time")
            else -> LogError(LogError.Kind.UNAVAILABLE, Verdict.MAY_HAVE_RUN, "connection to the log failed: ${failure.message}")
        }

    // By the protocol, the log responds with 429 or 503 only before an append takes effect. Other server errors may come
    // from an intermediary that has already forwarded the append.
    fun toLogError(response: HttpResult): LogError {
        val status = response.status
        val message = "the log responded with status $status"
        return when (status) {
            429 -> LogError(LogError.Kind.RATE_LIMITED, Verdict.NOT_RUN, message, retryAfterMs(response))
            503 -> LogError(LogError.Kind.UNAVAILABLE, Verdict.NOT_RUN, message, retryAfterMs(response))
            408 -> LogError(LogError.Kind.TIMEOUT, Verdict.MAY_HAVE_RUN, message)
            in 400..499 -> LogError(LogError.Kind.REFUSED, Verdict.NOT_RUN, message)
            else -> LogError(LogError.Kind.UNAVAILABLE, Verdict.MAY_HAVE_RUN, message)
        }
    }

    fun unreadableResponse(detail: String?): LogError =
        LogError(LogError.Kind.UNAVAILABLE, Verdict.MAY_HAVE_RUN, "unreadable response from the log: $detail")

    private fun retryAfterMs(response: HttpResult): Long? = response.header("retry-after")?.toLongOrNull()?.times(MS_PER_S)
}
