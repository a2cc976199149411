package dev.lycheehill.node.loop

import dev.lycheehill.node.upstream.UpstreamPools
import io.netty.channel.EventLoop
import java.util.SplittableRandom

/** What belongs to one event loop. Used on that event loop only. */
internal class LoopContext(
    val eventLoop: EventLoop,
    val upstreams: UpstreamPools,
    val random: SplittableRandom,
) {
    private var calls = 0L

    /** Returns an id that no other call of this event loop has. */
    fun nextCallId(): String = java.lang.Long.toString(++calls, Character.MAX_RADIX)

    /** Runs [task] on the event loop, at once when this is its thread. */
    fun runOnEventLoop(task: Runnable) {
        if (eventLoop.inEventLoop()) task.run() else eventLoop.execute(task)
    }
}
