package dev.lycheehill.node.http

import dev.lycheehill.node.DataPathSettings
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Fires [Expired] events if a request arrives too slowly or the connection is idle for too long.
 *
 * The handler precedes the decoder in the pipeline, because the first byte of a request is visible only there.
 */
internal class RequestTimeoutHandler(
    private val settings: DataPathSettings,
) : ChannelInboundHandlerAdapter() {
    /** Timeout that expired: receipt of a request, or the idle time of the connection. */
    enum class Expired { REQUEST, IDLE }

    private enum class Phase { IDLE, HEADERS, BODY, CALL }

    private lateinit var ctx: ChannelHandlerContext
    private var phase = Phase.IDLE
    private var phaseStartNanos = 0L
    private var timer: ScheduledFuture<*>? = null

    // The default implementation reads the annotations of the class by reflection, which slows the start by some milliseconds.
    override fun isSharable(): Boolean = false

    override fun channelActive(ctx: ChannelHandlerContext) {
        this.ctx = ctx
        // The header timeout runs from the start of the connection, so that a connection without a complete request header expires, too.
        enterPhase(Phase.HEADERS)
        checkTimeout()
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
            Phase.IDLE -> enterPhase(Phase.HEADERS)
            Phase.BODY -> enterPhase(Phase.BODY)
            else -> Unit
        }
        ctx.fireChannelRead(msg)
    }

    fun onHeadersReceived() = enterPhase(Phase.BODY)

    fun onBodyReceived() = enterPhase(Phase.CALL)

    fun onCallsDone() = enterPhase(Phase.IDLE)

    private fun enterPhase(next: Phase) {
        phase = next
        phaseStartNanos = System.nanoTime()
    }

    // A single timer per connection checks the current phase, which saves scheduling and cancelling a timer for each call.
    private fun checkTimeout() {
        val limitMs = limitMs()
        val elapsedMs = (System.nanoTime() - phaseStartNanos) / 1_000_000
        if (elapsedMs >= limitMs) {
            ctx.fireUserEventTriggered(if (phase == Phase.IDLE) Expired.IDLE else Expired.REQUEST)
            if (!ctx.channel().isActive) return
        }
        val waitMs = minOf(maxOf(limitMs - elapsedMs, 1), shortestLimitMs)
        timer = ctx.executor().schedule(::checkTimeout, waitMs, TimeUnit.MILLISECONDS)
    }

    private val shortestLimitMs = minOf(settings.headerTimeoutMs, settings.bodyTimeoutMs, settings.callerIdleTimeoutMs)

    private fun limitMs(): Long =
        when (phase) {
            Phase.IDLE -> settings.callerIdleTimeoutMs
            Phase.HEADERS -> settings.headerTimeoutMs
            Phase.BODY -> settings.bodyTimeoutMs
            Phase.CALL -> Long.MAX_VALUE
        }
}
