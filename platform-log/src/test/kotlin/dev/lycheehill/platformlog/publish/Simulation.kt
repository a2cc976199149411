package dev.lycheehill.platformlog.publish

import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.platformlog.Sleeper
import java.util.concurrent.Semaphore
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Runs blocking actors on a fake clock, one at a time, so that a seed always yields the same interleaving. An actor lets
 * another actor run whenever it sleeps.
 */
class Simulation(
    private val random: Random,
) : Sleeper {
    val timers = FakeTimerService()
    private val actors = mutableListOf<Actor>()
    private val yielded = Semaphore(0)
    private val current = ThreadLocal<Actor>()

    fun addActor(body: () -> Unit) {
        actors += Actor(body)
    }

    override fun sleep(durationMs: Long) {
        val actor = current.get()
        actor.wakeAtMs = timers.nowMs() + durationMs
        yielded.release()
        actor.turn.acquire()
    }

    /** Runs all actors to completion, then advances the clock until all delayed appends have taken effect. */
    fun run() {
        actors.forEach { actor ->
            thread(isDaemon = true) {
                actor.turn.acquire()
                current.set(actor)
                actor.failure = runCatching(actor.body).exceptionOrNull()
                actor.isDone = true
                yielded.release()
            }
        }
        while (actors.any { !it.isDone }) step()
        timers.advance(MAX_LATE_APPEND_MS)
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
        yielded.acquire()
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
        const val MAX_LATE_APPEND_MS = 120_000L
    }
}
