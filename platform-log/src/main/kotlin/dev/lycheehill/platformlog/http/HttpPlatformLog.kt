package dev.lycheehill.platformlog.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.lycheehill.core.Verdict
import dev.lycheehill.http.BlockingHttpClient
import dev.lycheehill.http.HttpCall
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog
import java.io.IOException
import java.net.URI
import java.net.URLEncoder

/** HTTP client of the log service. Thread-safe. Calls throw [InterruptedException] when the thread is interrupted. */
class HttpPlatformLog(
    private val settings: HttpLogSettings,
) : PlatformLog {
    private val client = BlockingHttpClient(settings.connectTimeoutMs)

    override fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        val call = HttpCall("POST", uri(recordsPath(stream)), body = payload, timeoutMs = settings.requestTimeoutMs)
        return send(call).flatMap { body -> parse { LogJson.decodeAppendResponse(body) } }
    }

    override fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<LogError, LogPage> {
        // A failed read has no effect on the log, so that its verdict is always NOT_RUN.
        val query = "?from=$fromOffset&max=$maxRecords&wait_ms=$waitMs"
        return send(HttpCall("GET", uri(recordsPath(stream) + query), timeoutMs = settings.requestTimeoutMs + waitMs))
            .flatMap { body -> parse { LogJson.decodePage(body) } }
            .flatMap { page ->
                if (page.isValid(fromOffset)) page.right() else HttpErrorMapper.unreadableResponse("the page has invalid offsets").left()
            }.mapLeft { it.copy(verdict = Verdict.NOT_RUN) }
    }

    private fun LogPage.isValid(fromOffset: Long): Boolean =
        firstRetainedOffset in 0..nextOffset &&
            entries.withIndex().all { (index, entry) -> entry.offset == fromOffset + index && entry.offset < nextOffset }

    private fun uri(path: String): URI = URI.create(settings.baseUri.toString().removeSuffix("/") + path)

    private fun recordsPath(stream: String) = "/v1/streams/${URLEncoder.encode(stream, Charsets.UTF_8)}/records"

    private fun send(call: HttpCall): Either<LogError, ByteArray> =
        try {
            val response = client.send(call)
            if (response.status == 200) response.body.right() else HttpErrorMapper.toLogError(response).left()
        } catch (e: IOException) {
            HttpErrorMapper.toLogError(e).left()
        }

    // If the response to an append is unreadable, the append may have taken effect.
    private fun <T> parse(read: () -> T): Either<LogError, T> =
        try {
            read().right()
        } catch (e: IOException) {
            HttpErrorMapper.unreadableResponse(e.message?.lineSequence()?.first()).left()
        }
}
