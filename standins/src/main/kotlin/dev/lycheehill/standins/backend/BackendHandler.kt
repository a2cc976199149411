package dev.lycheehill.standins.backend

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpUtil

/** Passes the requests of one connection to a [BackendCallExecutor] and cancels them when the connection closes. */
internal class BackendHandler(
    private val work: BackendCallExecutor,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private val open = ArrayList<BackendCall>(1)

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        msg: FullHttpRequest,
    ) {
        val call = BackendCall(ctx, msg.uri(), msg.headers(), msg.content().readableBytes(), HttpUtil.isKeepAlive(msg))
        open.removeAll { it.state == BackendCall.State.DONE }
        open.add(call)
        work.accept(call)
    }

    override fun channelActive(ctx: ChannelHandlerContext) = work.onConnectionOpened(ctx.channel())

    override fun channelInactive(ctx: ChannelHandlerContext) {
        work.onConnectionClosed(ctx.channel())
        open.forEach(work::cancel)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }
}
