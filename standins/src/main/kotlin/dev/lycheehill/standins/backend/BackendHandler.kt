package dev.lycheehill.standins.backend

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpUtil

/** Netty handler that passes the requests of one connection to a [BackendCallExecutor] and cancels them when the connection closes. */
internal class BackendHandler(
    private val executor: BackendCallExecutor,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private val openCalls = ArrayList<BackendCall>(1)

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        msg: FullHttpRequest,
    ) {
        val call = BackendCall(ctx, msg.uri(), msg.headers(), msg.content().readableBytes(), HttpUtil.isKeepAlive(msg))
        openCalls.removeAll { it.state == BackendCall.State.DONE }
        openCalls.add(call)
        executor.accept(call)
    }

    override fun channelActive(ctx: ChannelHandlerContext) = executor.onConnectionOpened(ctx.channel())

    override fun channelInactive(ctx: ChannelHandlerContext) {
        executor.onConnectionClosed(ctx.channel())
        openCalls.forEach(executor::cancel)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }
}
