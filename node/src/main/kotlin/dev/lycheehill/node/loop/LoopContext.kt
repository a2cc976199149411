package dev.lycheehill.node.loop

import dev.lycheehill.node.upstream.UpstreamPools
import io.netty.channel.EventLoop
import java.util.SplittableRandom

/**
 * The state of one event loop of the data path: its connection pools and its random generator.
 *
 * Not thread-safe. All functions except [runOnEventLoop] are called on the event loop.
 */
internal class LoopContext(
    val eventLoop: EventLoop,
    val upstreams: UpstreamPools,
    val random: SplittableRandom,
) {
    private var callCount = 0L

    /** Returns a call id that is unique within this event loop. */
    fun nextCallId(): String = java.lang.Long.toString(++callCount, Character.MAX_RADIX)

    /** Runs [task] on the event loop: immediately if the current thread is the event loop's thread, otherwise later. */
    fun runOnEventLoop(task: Runnable) {
        if (eventLoop.inEventLoop()) task.run() else eventLoop.execute(task)
    }
}
