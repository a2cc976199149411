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
 * One request to one peer and its response. Confined to one event loop.
 *
 * @property body owned by the exchange until it is written.
 * @property progressLimitMs time without a byte of the response after which the connection counts as silent, in milliseconds.
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
    private var progressTimer: ScheduledFuture<*>? = null
    private var lastProgressNanos = 0L
    private var isPaused = false
    private var hasResponseHead = false

    var isDone: Boolean = false
        private set

    /** Whether any part of the request may have reached the peer. */
    val isSent: Boolean get() = connection?.isHeadSent == true

    /** Cancels the exchange and closes its connection, which lets the peer cancel the request as well. */
    fun cancel() {
        if (isDone) return
        finish()
        connection?.close()
    }

    /** Closes the connection after this exchange instead of using it for another one. */
    fun preventReuse() {
        connection?.preventReuse()
    }

    /** Pauses or resumes reading of the response. */
    fun setReading(reading: Boolean) {
        isPaused = !reading
        lastProgressNanos = System.nanoTime()
        connection?.setReading(reading)
    }

    /** Returns the body of the request, if not taken yet. The caller takes over the reference. */
    fun takeBody(): ByteBuf? = body.also { body = null }

    /** Starts the exchange on a connection, and with it the check for progress of the response. */
    fun onAttached(newConnection: UpstreamConnection) {
        connection = newConnection
        lastProgressNanos = System.nanoTime()
        scheduleProgressCheck(progressLimitMs)
    }

    fun belongsToOtherRequest(response: HttpResponse): Boolean = !isDone && listener.belongsToOtherRequest(response)

    fun onResponse(response: HttpResponse) {
        recordProgress()
        hasResponseHead = true
        if (!isDone) listener.onResponse(response)
    }

    fun onContent(
        content: HttpContent,
        isLast: Boolean,
    ) {
        recordProgress()
        if (isDone) {
            content.release()
            return
        }
        if (isLast) finish()
        listener.onContent(content)
    }

    /** Tells the listener that all bytes that were available have been decoded. */
    fun onReadComplete() {
        if (!isDone) listener.onReadComplete()
    }

    /**
     * Ends the exchange without a complete response. Does nothing if the exchange has ended.
     *
     * @param sent whether the peer may have executed the request.
     */
    fun fail(
        sent: Boolean,
        kind: ExchangeFailure.Kind,
    ) {
        if (isDone) return
        finish()
        val reportedKind = if (hasResponseHead && kind == ExchangeFailure.Kind.CLOSED) ExchangeFailure.Kind.TRUNCATED else kind
        listener.onFailure(ExchangeFailure(if (sent) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN, reportedKind))
    }

    private fun recordProgress() {
        lastProgressNanos = System.nanoTime()
    }

    private fun finish() {
        isDone = true
        progressTimer?.cancel(false)
        takeBody()?.release()
    }

    private fun scheduleProgressCheck(delayMs: Long) {
        progressTimer = eventLoop.schedule(::checkProgress, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun checkProgress() {
        if (isDone) return
        val elapsedMs = (System.nanoTime() - lastProgressNanos) / 1_000_000
        if (isPaused || elapsedMs < progressLimitMs) {
            scheduleProgressCheck(if (isPaused) progressLimitMs else progressLimitMs - elapsedMs)
            return
        }
        val silentConnection = connection
        fail(sent = true, kind = ExchangeFailure.Kind.SILENT)
        silentConnection?.close()
        pool.closeIdleLastUsedBefore(lastProgressNanos)
    }
}
