package dev.lycheehill.node.loop

import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.upstream.UpstreamPools
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import java.util.IdentityHashMap
import java.util.SplittableRandom
import java.util.concurrent.TimeUnit

/** Holds the [LoopContext] of each event loop of the data path. The set of contexts is fixed after construction. */
internal class LoopContexts(
    group: EventLoopGroup,
    transport: Transport,
    settings: DataPathSettings,
) {
    private val byLoop = IdentityHashMap<EventLoop, LoopContext>()

    init {
        group.forEachIndexed { index, executor ->
            val loop = executor as EventLoop
            val upstreams = UpstreamPools(loop, transport.channelFactory, settings)
            byLoop[loop] = LoopContext(loop, upstreams, SplittableRandom(settings.seed + index))
            loop.scheduleAtFixedRate({ upstreams.closeUnused(MAX_POOL_IDLE_NANOS) }, 1, 1, TimeUnit.SECONDS)
        }
    }

    /** Returns the context of [eventLoop]. */
    fun of(eventLoop: EventLoop): LoopContext = byLoop.getValue(eventLoop)

    private companion object {
        val MAX_POOL_IDLE_NANOS = TimeUnit.MINUTES.toNanos(10)
    }
}
