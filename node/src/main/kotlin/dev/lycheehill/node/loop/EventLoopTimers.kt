package dev.lycheehill.node.loop

import dev.lycheehill.core.time.ExecutorTimerService
import dev.lycheehill.core.time.TimerService
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop

/** A [TimerService] whose tasks run on an event loop, so that the tasks need neither locks nor a separate thread. */
class EventLoopTimers(
    eventLoop: EventLoop,
) : TimerService by ExecutorTimerService(eventLoop, { log.error(it) { "timer task failed" } }) {
    private companion object {
        val log = KotlinLogging.logger {}
    }
}
