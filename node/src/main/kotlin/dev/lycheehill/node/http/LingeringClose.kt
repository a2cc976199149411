package dev.lycheehill.node.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.DuplexChannel
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Closes a caller's connection behind the responses that were written to it. Confined to the event loop of the connection.
 *
 * A socket that is closed with unread input, or that receives input later, sends a TCP reset, which destroys the responses that
 * the caller has not read yet. Therefore only the output is shut down. The input is read, and has to be discarded, until the
 * caller closes the connection, for at most [LINGER_TIMEOUT_MS] after its last input and [MAX_LINGER_MS] in all.
 *
 * @param onFlushed called when the operating system has accepted all responses.
 * @param onTimeout called before the connection is closed because the caller has not closed it in time.
 */
internal class LingeringClose(
    private val ctx: ChannelHandlerContext,
    private val onFlushed: () -> Unit,
    private val onTimeout: () -> Unit,
) {
    private var timeout: ScheduledFuture<*>? = null
    private var startNanos = 0L
    private var lastInputNanos = 0L

    /** Starts to close the connection. The caller sees the end of the connection behind the last response. */
    fun start() {
        ctx.channel().config().isAutoRead = true
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { if (ctx.channel().isActive) shutdownOutput() }
    }

    /** Must be called when the connection is closed. */
    fun onClosed() {
        timeout?.cancel(false)
    }

    /** The caller has sent input after the close began. */
    fun onInput() {
        lastInputNanos = System.nanoTime()
    }

    private fun shutdownOutput() {
        startNanos = System.nanoTime()
        lastInputNanos = startNanos
        (ctx.channel() as DuplexChannel).shutdownOutput()
        onFlushed()
        closeWhenSilent()
    }

    private fun closeWhenSilent() {
        val endNanos = minOf(lastInputNanos - startNanos + LINGER_TIMEOUT_NANOS, MAX_LINGER_NANOS) + startNanos
        val leftNanos = endNanos - System.nanoTime()
        if (leftNanos > 0) {
            timeout = ctx.executor().schedule(::closeWhenSilent, leftNanos, TimeUnit.NANOSECONDS)
            return
        }
        onTimeout()
        ctx.close()
    }

    private companion object {
        const val LINGER_TIMEOUT_MS = 5_000L
        const val MAX_LINGER_MS = 30_000L
        val LINGER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(LINGER_TIMEOUT_MS)
        val MAX_LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(MAX_LINGER_MS)
    }
}
