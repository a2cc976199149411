package dev.lycheehill.platformlog.publish

import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.platformlog.Sleeper
import java.util.concurrent.Semaphore
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Runs blocking actors on a fake clock, one at a time, so that a seed gives the same interleaving each time. An actor
 * gives way whenever it sleeps.
 */
class Simulation(
    private val random: Random,
) : Sleeper {
    val timers = FakeTimerService()
    private val actors = mutableListOf<Actor>()
    private val gaveWay = Semaphore(0)
    private val current = ThreadLocal<Actor>()

    fun actor(body: () -> Unit) {
        actors += Actor(body)
    }

    override fun sleep(durationMs: Long) {
        val actor = current.get()
        actor.wakeAtMs = timers.nowMs() + durationMs
        gaveWay.release()
        actor.turn.acquire()
    }

    /** Runs all actors to their ends and lets late appends land. */
    fun run() {
        actors.forEach { actor ->
            thread(isDaemon = true) {
                actor.turn.acquire()
                current.set(actor)
                actor.failure = runCatching(actor.body).exceptionOrNull()
                actor.isDone = true
                gaveWay.release()
            }
        }
        while (actors.any { !it.isDone }) step()
        timers.advance(LAST_LANDING_MS)
        actors.forEach { actor -> actor.failure?.let { throw it } }
    }

    private fun step() {
        val waiting = actors.filter { !it.isDone }
        val earliestMs = waiting.minOf { it.wakeAtMs }
        if (earliestMs > timers.nowMs()) timers.advance(earliestMs - timers.nowMs())
        waiting
            .filter { it.wakeAtMs == earliestMs }
            .random(random)
            .turn
            .release()
        gaveWay.acquire()
    }

    private class Actor(
        val body: () -> Unit,
    ) {
        val turn = Semaphore(0)

        @Volatile var wakeAtMs = 0L

        @Volatile var isDone = false

        @Volatile var failure: Throwable? = null
    }

    private companion object {
        const val LAST_LANDING_MS = 120_000L
    }
}
