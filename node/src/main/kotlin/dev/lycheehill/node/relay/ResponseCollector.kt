package dev.lycheehill.node.relay

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.dialect.BackendResponseKind
import dev.lycheehill.node.http.BodyBuffer
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.upstream.Exchange
import dev.lycheehill.node.upstream.ExchangeFailure
import dev.lycheehill.node.upstream.ExchangeListener
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent

/**
 * Buffers a response until it is complete. A response above [maxBytes] can be streamed to the caller instead; reading from the
 * peer pauses while the caller's connection is not writable (backpressure).
 *
 * @param kindOf returns the kind of a response to the request that was sent.
 */
internal class ResponseCollector(
    private val maxBytes: Int,
    private val kindOf: (HttpResponse) -> BackendResponseKind,
    private val listener: ResponseCollectorListener,
) : ExchangeListener {
    private val body = BodyBuffer(ByteBufAllocator.DEFAULT)
    private var sink: InboundCall? = null
    private var isDone = false
    private var partCount = 0

    /** Head of the response. Set before any callback of the listener except a failure. */
    lateinit var head: HttpResponse
        private set

    lateinit var exchange: Exchange

    private var kind = BackendResponseKind.RAN

    override fun belongsToOtherRequest(response: HttpResponse): Boolean = kindOf(response) == BackendResponseKind.OTHER_REQUEST

    override fun onResponse(response: HttpResponse) {
        head = response
        kind = kindOf(response)
        // A refusal need not name its request. Sent again on the same connection, it would refuse the next request, which may have run.
        if (kind == BackendResponseKind.NOT_RUN) exchange.preventReuse()
        if (kind == BackendResponseKind.INVALID) {
            exchange.cancel()
            onFailure(ExchangeFailure(Verdict.MAY_HAVE_RUN, ExchangeFailure.Kind.BAD_RESPONSE))
        }
    }

    override fun onContent(content: HttpContent) {
        if (isDone) {
            content.release()
            return
        }
        val caller = sink
        if (caller == null) bufferPart(content) else streamPart(caller, content)
    }

    // A flush of each part would cost a system call for each, so that a response in tiny parts could occupy the event loop.
    override fun onReadComplete() {
        sink?.flush()
    }

    override fun onFailure(failure: ExchangeFailure) {
        if (isDone) return
        isDone = true
        body.release()
        listener.onFailure(failure)
    }

    /** Starts to stream the response to [call], beginning with the part buffered so far. */
    fun streamTo(
        call: InboundCall,
        headers: HttpHeaders,
    ) {
        sink = call
        call.startStream(head.status(), headers)
        call.write(DefaultHttpContent(body.take()))
        pauseIfNotWritable(call)
    }

    /** Resumes reading when the caller's connection is writable again. */
    fun resume() {
        if (!isDone) exchange.setReading(true)
    }

    /** Cancels the exchange. No callback of the listener follows. */
    fun cancel() {
        if (isDone) return
        isDone = true
        body.release()
        exchange.cancel()
    }

    private fun bufferPart(content: HttpContent) {
        body.add(content.content())
        partCount++
        if (partCount > MIN_CHECKED_PARTS && body.sizeBytes < partCount * MIN_MEAN_PART_BYTES) {
            exchange.cancel()
            onFailure(ExchangeFailure(Verdict.MAY_HAVE_RUN, ExchangeFailure.Kind.BAD_RESPONSE))
            return
        }
        if (content is LastHttpContent) {
            isDone = true
            listener.onComplete(CollectedResponse(head.status(), head.headers(), body.take(), kind))
        } else if (body.sizeBytes > maxBytes) {
            listener.onTooLarge(this)
        }
    }

    private fun streamPart(
        caller: InboundCall,
        content: HttpContent,
    ) {
        if (content is LastHttpContent) {
            isDone = true
            caller.end(content)
            listener.onStreamComplete()
            return
        }
        caller.write(content)
        pauseIfNotWritable(caller)
    }

    private fun pauseIfNotWritable(caller: InboundCall) {
        if (!caller.isWritable) exchange.setReading(false)
    }

    private companion object {
        // A response in many tiny parts would occupy the event loop. A regular response of more than 1,024 parts has larger parts.
        const val MIN_CHECKED_PARTS = 1_024
        const val MIN_MEAN_PART_BYTES = 16
    }
}
