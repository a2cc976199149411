package dev.lycheehill.node.upstream

import dev.lycheehill.node.DataPathSettings
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.handler.codec.http.HttpClientCodec
import jdk.net.ExtendedSocketOptions

/** Connection pools of one event loop by address of the peer. Used on that event loop only. */
internal class UpstreamPools(
    private val eventLoop: EventLoop,
    newChannel: ChannelFactory<out Channel>,
    private val settings: DataPathSettings,
) {
    private val pools = HashMap<String, ConnectionPool>()

    private val bootstrap: Bootstrap =
        Bootstrap()
            .group(eventLoop)
            .channelFactory(newChannel)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs)
            .handler(Initializer)
            .apply { if (settings.keepAliveIdleS > 0) probeWhenIdle(settings.keepAliveIdleS) }

    /** Returns the pool for [address], written as `ip:port`. */
    fun pool(address: String): ConnectionPool = pools.getOrPut(address) { newPool(address) }

    /** Tells [listener] whether the peer at [address] accepts a connection. */
    fun probe(
        address: String,
        listener: (Boolean) -> Unit,
    ) = pool(address).probe(listener)

    /** Closes expired connections and forgets the pools of peers that have not been called for [unusedNanos]. */
    fun maintain(unusedNanos: Long) {
        val now = System.nanoTime()
        pools.values.forEach { it.closeExpired() }
        pools.values.removeIf { now - it.lastUsedNanos > unusedNanos }
    }

    private fun newPool(address: String) =
        ConnectionPool(
            eventLoop = eventLoop,
            address = socketAddressOf(address),
            bootstrap = bootstrap,
            idleReuseNanos = settings.upstreamMaxIdleMs * 1_000_000,
            maxConnections = settings.maxConnectionsPerPeer,
        )

    // Only a probe shows that a connection has fallen silent while this side waits.
    private fun Bootstrap.probeWhenIdle(idleS: Int): Bootstrap =
        option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), idleS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)

    private companion object {
        // Two probes a second apart, so that one lost packet closes no connection.
        const val KEEP_ALIVE_PROBES = 2
    }

    private object Initializer : ChannelInitializer<Channel>() {
        // The default reads the annotations of the class, which costs a start some milliseconds.
        override fun isSharable(): Boolean = true

        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpClientCodec())
        }
    }
}
