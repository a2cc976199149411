package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.PriorityQueue
import java.util.SplittableRandom

/**
 * Discrete-event simulation of callers on several nodes and of several targets, one of which starts later with a slow node.
 *
 * The node of a target handles its calls one after the other. The node that starts later takes [COLD_MS] milliseconds for each of
 * its first [COLD_CALLS] calls, as a process does that has just started, and also handles calls whose callers have given up. A
 * target with a full queue sheds the call, and the call is moved to another target.
 */
internal class ColdTargetSimulation(
    seed: Long,
    private val callsPerSecond: Int,
) {
    private val random = SplittableRandom(seed)
    private val events = PriorityQueue<Event>(compareBy { it.atNanos })
    private val targets = List(TARGETS) { Target("t$it", startsLate = it == 0) }
    private val pickers = List(CALLERS) { WaitAwarePicker(zoneOf(it), random.nextLong()) }
    private var sent = 0
    private var timedOut = 0

    /** Returns the share of calls that timed out without a response or refusal, in the three seconds after the late start. */
    fun timedOutShare(): Double {
        pickers.forEach { it.update(targets.drop(1).map(Target::info), 0) }
        at(START_NANOS) { pickers.forEach { it.update(targets.map(Target::info), START_NANOS) } }
        var arrivalNanos = 0L
        while (arrivalNanos < END_NANOS) {
            arrivalNanos += (-Math.log(1 - random.nextDouble()) * 1e9 / callsPerSecond).toLong()
            val now = arrivalNanos
            at(now) {
                if (now >= START_NANOS) sent++
                send(random.nextInt(CALLERS), now, now, emptyList())
            }
        }
        while (true) (events.poll() ?: break).task()
        return timedOut.toDouble() / sent
    }

    private fun send(
        caller: Int,
        firstNanos: Long,
        nowNanos: Long,
        tried: List<String>,
    ) {
        val picker = pickers[caller]
        val handle = picker.pick(nowNanos, tried) ?: return
        picker.onStart(handle, nowNanos)
        var ended = false
        val deadlineNanos = firstNanos + DEADLINE_MS * NANOS_PER_MILLI
        at(deadlineNanos) {
            if (!ended) {
                picker.onFinish(handle, deadlineNanos, deadlineNanos - nowNanos, AttemptOutcome.CANCELLED)
                if (firstNanos >= START_NANOS) timedOut++
            }
            ended = true
        }
        targets.first { it.info.id == handle.info.id }.accept(nowNanos) { endNanos, outcome, load ->
            if (!ended) {
                ended = true
                picker.onFinish(handle, endNanos, endNanos - nowNanos, outcome, load)
                if (outcome == AttemptOutcome.SHED && tried.size < MAX_MOVES) send(caller, firstNanos, endNanos, tried + handle.info.id)
            }
        }
    }

    private fun at(
        nanos: Long,
        task: () -> Unit,
    ) {
        events.add(Event(nanos, task))
    }

    private class Event(
        val atNanos: Long,
        val task: () -> Unit,
    )

    private inner class Target(
        id: String,
        private val startsLate: Boolean,
    ) {
        val info = TargetInfo(id, zoneOf(id.drop(1).toInt()), "10.0.0.1:${id.drop(1)}", slots = SLOTS)
        private var handled = 0
        private var nodeFreeNanos = 0L
        private val waiting = ArrayDeque<(Long) -> Unit>()
        private var running = 0

        fun accept(
            nowNanos: Long,
            answer: (Long, AttemptOutcome, LoadReport) -> Unit,
        ) {
            val costMs = if (startsLate && handled < COLD_CALLS) COLD_MS else 1
            handled++
            nodeFreeNanos = maxOf(nodeFreeNanos, nowNanos) + costMs * NANOS_PER_MILLI
            val handledNanos = nodeFreeNanos
            at(handledNanos) {
                when {
                    running < SLOTS -> run(handledNanos, answer)
                    waiting.size < MAX_QUEUE -> waiting.addLast { run(it, answer) }
                    else -> answer(handledNanos, AttemptOutcome.SHED, load())
                }
            }
        }

        private fun run(
            nowNanos: Long,
            answer: (Long, AttemptOutcome, LoadReport) -> Unit,
        ) {
            running++
            val endNanos = nowNanos + (RUN_MS * NANOS_PER_MILLI * (0.5 + random.nextDouble())).toLong()
            at(endNanos) {
                running--
                waiting.removeFirstOrNull()?.invoke(endNanos)
                answer(endNanos, AttemptOutcome.SUCCESS, load())
            }
        }

        private fun load() = LoadReport(running, RUN_MS * NANOS_PER_MILLI, waiting.size, SLOTS)
    }

    private companion object {
        const val CALLERS = 12
        const val TARGETS = 4
        const val SLOTS = 9
        const val MAX_QUEUE = 9
        const val MAX_MOVES = 2
        const val RUN_MS = 60L
        const val DEADLINE_MS = 500L
        const val START_NANOS = 2_000 * NANOS_PER_MILLI
        const val END_NANOS = 5_000 * NANOS_PER_MILLI
        const val COLD_CALLS = 200
        const val COLD_MS = 15L

        fun zoneOf(index: Int) = "z${index % TARGETS}"
    }
}
