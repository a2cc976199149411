package dev.lycheehill.measure.calls

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.net.InetSocketAddress
import java.util.Random
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.math.ln

/**
 * Open-loop load generator: sends calls at scheduled times, regardless of whether earlier calls have been answered.
 *
 * The calling thread waits for the times at which calls are due, because the timers of an event loop have a resolution of
 * only 1 ms. Calls are distributed over the addresses in turn.
 */
class OpenLoopLoadGenerator(
    addresses: List<InetSocketAddress>,
    seed: Long,
) : AutoCloseable {
    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("load", true), NioIoHandler.newFactory())
    private val eventLoop = group.next()
    private val clients = addresses.map { LoadClient(eventLoop, it) }
    private val random = Random(seed)
    private var nextClientIndex = 0

    /**
     * Runs [streams] for [durationMs] and returns the outcomes by the name of the call kind. Calls that are due within the
     * first [warmUpMs] are sent but not counted. Waits up to [settleMs] for the last responses.
     */
    fun run(
        streams: List<LoadStream>,
        durationMs: Long,
        warmUpMs: Long = 0,
        settleMs: Long = 3_000,
    ): Map<String, LoadTally> {
        val tallies = streams.associate { it.kind.name to LoadTally() }
        val startNanos = System.nanoTime()
        val schedules = streams.map { Schedule(it, startNanos) }
        val endNanos = startNanos + durationMs * NANOS_PER_MILLI
        val countFromNanos = startNanos + warmUpMs * NANOS_PER_MILLI
        while (true) {
            val next = schedules.minBy { it.dueNanos }
            if (next.dueNanos >= endNanos) break
            waitUntil(next.dueNanos)
            send(next, tallies.getValue(next.stream.kind.name).takeIf { next.dueNanos >= countFromNanos })
            next.advance()
        }
        awaitResponses(tallies.values, settleMs)
        return tallies
    }

    override fun close() {
        eventLoop.submit { clients.forEach { it.close() } }.sync()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun send(
        schedule: Schedule,
        tally: LoadTally?,
    ) {
        val client = clients[nextClientIndex++ % clients.size]
        val dueNanos = schedule.dueNanos
        eventLoop.execute { client.send(schedule.stream.kind, dueNanos, tally) }
    }

    private fun waitUntil(dueNanos: Long) {
        while (true) {
            val leftNanos = dueNanos - System.nanoTime()
            if (leftNanos <= 0) return
            if (leftNanos > SPIN_NANOS) LockSupport.parkNanos(leftNanos - SPIN_NANOS) else Thread.onSpinWait()
        }
    }

    private fun awaitResponses(
        tallies: Collection<LoadTally>,
        settleMs: Long,
    ) {
        val endNanos = System.nanoTime() + settleMs * NANOS_PER_MILLI
        while (System.nanoTime() < endNanos &&
            eventLoop.submit<Boolean> { tallies.any { it.due > it.succeeded + it.disconnected } }.get()
        ) {
            Thread.sleep(SETTLE_POLL_MS)
        }
    }

    private inner class Schedule(
        val stream: LoadStream,
        private val startNanos: Long,
    ) {
        var dueNanos: Long = startNanos
            private set

        init {
            advance()
        }

        fun advance() {
            val rate = maxOf(stream.callsPerSecond((dueNanos - startNanos) / NANOS_PER_SECOND), MIN_CALLS_PER_SECOND)
            dueNanos += (-ln(1.0 - random.nextDouble()) / rate * NANOS_PER_SECOND).toLong()
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_SECOND = 1e9
        const val SPIN_NANOS = 60_000L
        const val SETTLE_POLL_MS = 20L
        const val MIN_CALLS_PER_SECOND = 0.001
    }
}
