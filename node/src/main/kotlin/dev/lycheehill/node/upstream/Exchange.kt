package dev.lycheehill.node.upstream

import dev.lycheehill.core.Verdict
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * One request to one peer and its response. Used on one event loop only.
 *
 * @property body owned by the exchange until it is written.
 * @property progressLimitMs longest time without a byte of the response before the connection counts as silent.
 */
internal class Exchange(
    val head: HttpRequest,
    private var body: ByteBuf?,
    private val progressLimitMs: Long,
    private val eventLoop: EventLoop,
    private val pool: ConnectionPool,
    private val listener: ExchangeListener,
) {
    private var connection: UpstreamConnection? = null
    private var timer: ScheduledFuture<*>? = null
    private var lastProgressNanos = 0L
    private var paused = false
    private var hasResponse = false

    var isDone: Boolean = false
        private set

    /** Whether a part of the request may have reached the peer. */
    val isSent: Boolean get() = connection?.isHeadSent == true

    /** Gives up the exchange and closes its connection, which also tells the peer to stop the work. */
    fun cancel() {
        if (isDone) return
        finish()
        connection?.close()
    }

    /** Stops or continues to read the response. */
    fun setReading(reading: Boolean) {
        paused = !reading
        lastProgressNanos = System.nanoTime()
        connection?.setReading(reading)
    }

    fun takeBody(): ByteBuf? = body.also { body = null }

    fun attached(to: UpstreamConnection) {
        connection = to
        lastProgressNanos = System.nanoTime()
        scheduleCheck(progressLimitMs)
    }

    fun belongsToOtherRequest(response: HttpResponse): Boolean = !isDone && listener.belongsToOtherRequest(response)

    fun response(response: HttpResponse) {
        progress()
        hasResponse = true
        if (!isDone) listener.onResponse(response)
    }

    fun content(
        content: HttpContent,
        isLast: Boolean,
    ) {
        progress()
        if (isDone) {
            content.release()
            return
        }
        if (isLast) finish()
        listener.onContent(content)
    }

    fun failed(
        sent: Boolean,
        kind: ExchangeFailure.Kind,
    ) {
        if (isDone) return
        finish()
        val shown = if (hasResponse && kind == ExchangeFailure.Kind.CLOSED) ExchangeFailure.Kind.TRUNCATED else kind
        listener.onFailure(ExchangeFailure(if (sent) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN, shown))
    }

    private fun progress() {
        lastProgressNanos = System.nanoTime()
    }

    private fun finish() {
        isDone = true
        timer?.cancel(false)
        takeBody()?.release()
    }

    private fun scheduleCheck(delayMs: Long) {
        timer = eventLoop.schedule(::check, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun check() {
        if (isDone) return
        val elapsedMs = (System.nanoTime() - lastProgressNanos) / 1_000_000
        if (paused || elapsedMs < progressLimitMs) {
            scheduleCheck(if (paused) progressLimitMs else progressLimitMs - elapsedMs)
            return
        }
        val silent = connection
        failed(sent = true, kind = ExchangeFailure.Kind.SILENT)
        silent?.close()
        pool.closeIdleUnusedSince(lastProgressNanos)
    }
}
