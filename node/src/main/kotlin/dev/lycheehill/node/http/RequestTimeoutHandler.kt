package dev.lycheehill.node.http

import dev.lycheehill.node.DataPathSettings
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Fires [Expired] events when a request arrives too slowly or a connection stays unused.
 *
 * It stands before the decoder, because only there the first byte of a request is seen.
 */
internal class RequestTimeoutHandler(
    private val settings: DataPathSettings,
) : ChannelInboundHandlerAdapter() {
    /** What took too long. */
    enum class Expired { REQUEST, IDLE }

    private enum class Phase { IDLE, HEADERS, BODY, CALL }

    private lateinit var ctx: ChannelHandlerContext
    private var phase = Phase.IDLE
    private var phaseStartNanos = 0L
    private var timer: ScheduledFuture<*>? = null

    // The default reads the annotations of the class, which costs a start some milliseconds.
    override fun isSharable(): Boolean = false

    override fun channelActive(ctx: ChannelHandlerContext) {
        this.ctx = ctx
        // A connection that never sends a whole request header counts as slow from its beginning.
        enter(Phase.HEADERS)
        check()
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
        ctx.fireChannelInactive()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        when (phase) {
            Phase.IDLE -> enter(Phase.HEADERS)
            Phase.BODY -> enter(Phase.BODY)
            else -> Unit
        }
        ctx.fireChannelRead(msg)
    }

    fun headersDone() = enter(Phase.BODY)

    fun bodyDone() = enter(Phase.CALL)

    fun requestDone() = enter(Phase.IDLE)

    private fun enter(next: Phase) {
        phase = next
        phaseStartNanos = System.nanoTime()
    }

    // One timer a connection looks at the current phase, so that no timer is set or cancelled for a call.
    private fun check() {
        val limitMs = limitMs()
        val elapsedMs = (System.nanoTime() - phaseStartNanos) / 1_000_000
        if (elapsedMs >= limitMs) {
            ctx.fireUserEventTriggered(if (phase == Phase.IDLE) Expired.IDLE else Expired.REQUEST)
            if (!ctx.channel().isActive) return
        }
        val waitMs = minOf(maxOf(limitMs - elapsedMs, 1), shortestMs)
        timer = ctx.executor().schedule(::check, waitMs, TimeUnit.MILLISECONDS)
    }

    private val shortestMs = minOf(settings.headerTimeoutMs, settings.bodyTimeoutMs, settings.callerIdleTimeoutMs)

    private fun limitMs(): Long =
        when (phase) {
            Phase.IDLE -> settings.callerIdleTimeoutMs
            Phase.HEADERS -> settings.headerTimeoutMs
            Phase.BODY -> settings.bodyTimeoutMs
            Phase.CALL -> Long.MAX_VALUE
        }
}
