package dev.lycheehill.node.upstream

import dev.lycheehill.node.DataPathSettings
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.handler.codec.http.HttpRequestEncoder
import jdk.net.ExtendedSocketOptions

/** Connection pools of one event loop by peer address. Confined to this event loop. */
internal class UpstreamPools(
    private val eventLoop: EventLoop,
    channelFactory: ChannelFactory<out Channel>,
    private val settings: DataPathSettings,
) {
    private val pools = HashMap<String, ConnectionPool>()

    private val bootstrap: Bootstrap =
        Bootstrap()
            .group(eventLoop)
            .channelFactory(channelFactory)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs)
            .handler(Initializer)
            .apply { if (settings.keepAliveIdleS > 0) enableKeepAlive(settings.keepAliveIdleS) }

    /** Returns the pool for [address], which has the form `ip:port`. */
    fun pool(address: String): ConnectionPool = pools.getOrPut(address) { newPool(address) }

    /** Opens and closes a connection to the peer at [address]. Tells [listener] whether the peer accepted the connection. */
    fun probe(
        address: String,
        listener: (Boolean) -> Unit,
    ) = pool(address).probe(listener)

    /** Closes expired connections and removes the pools of peers without a call in the last [unusedNanos]. */
    fun closeUnused(unusedNanos: Long) {
        val now = System.nanoTime()
        pools.values.forEach { it.closeExpired() }
        pools.values.removeIf { now - it.lastUsedNanos > unusedNanos }
    }

    private fun newPool(address: String) =
        ConnectionPool(
            eventLoop = eventLoop,
            address = socketAddressOf(address),
            bootstrap = bootstrap,
            maxIdleNanos = settings.upstreamMaxIdleMs * 1_000_000,
            maxConnections = settings.maxConnectionsPerPeer,
        )

    // While this side only waits for a response, nothing but a TCP keep-alive probe detects a dead connection.
    private fun Bootstrap.enableKeepAlive(idleS: Int): Bootstrap =
        option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), idleS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)

    private companion object {
        // With two probes, a second apart, a single lost packet does not close a connection.
        const val KEEP_ALIVE_PROBES = 2
    }

    private object Initializer : ChannelInitializer<Channel>() {
        // The default implementation reads the annotations of the class by reflection, which slows the start by some milliseconds.
        override fun isSharable(): Boolean = true

        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(ResponseDecoder(), HttpRequestEncoder())
        }
    }
}
