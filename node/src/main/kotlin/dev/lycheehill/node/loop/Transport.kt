package dev.lycheehill.node.loop

import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.EventLoopGroup
import io.netty.channel.IoHandlerFactory
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.ServerChannel
import io.netty.channel.epoll.Epoll
import io.netty.channel.epoll.EpollIoHandler
import io.netty.channel.epoll.EpollServerSocketChannel
import io.netty.channel.epoll.EpollSocketChannel
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.concurrent.DefaultThreadFactory

/** Netty socket implementation that a node uses. */
enum class Transport(
    internal val channelFactory: ChannelFactory<out Channel>,
    internal val serverChannelFactory: ChannelFactory<out ServerChannel>,
) {
    EPOLL(::EpollSocketChannel, ::EpollServerSocketChannel),
    NIO(::NioSocketChannel, ::NioServerSocketChannel),
    ;

    /** Returns a new group of [threads] event loops. */
    internal fun newGroup(
        threads: Int,
        name: String,
    ): EventLoopGroup = MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory(name, true), ioHandlerFactory())

    private fun ioHandlerFactory(): IoHandlerFactory =
        when (this) {
            EPOLL -> EpollIoHandler.newFactory()
            NIO -> NioIoHandler.newFactory()
        }

    companion object {
        /** Returns [EPOLL] when its native library can be loaded, otherwise [NIO]. */
        fun best(): Transport = if (Epoll.isAvailable()) EPOLL else NIO
    }
}
