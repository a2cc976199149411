package dev.lycheehill.core.time

import java.util.PriorityQueue

/**
 * [TimerService] for tests. Time moves only by [advance], which runs due tasks in the order of their due times, and by [pause].
 *
 * Not thread-safe.
 */
class FakeTimerService(
    private var nowMs: Long = 0,
    private val wallOffsetMs: Long = 1_700_000_000_000,
) : TimerService {
    private val queue = PriorityQueue(compareBy<Entry> { it.dueMs }.thenBy { it.order })
    private var nextOrder = 0L

    override fun nowNanos(): Long = nowMs * NANOS_PER_MILLI

    override fun wallMillis(): Long = wallOffsetMs + nowMs

    override fun every(
        periodMs: Long,
        task: () -> Unit,
    ): Subscription = add(Entry(dueMs = nowMs + periodMs, order = nextOrder++, periodMs = periodMs, task = task))

    override fun after(
        delayMs: Long,
        task: () -> Unit,
    ): Subscription = add(Entry(dueMs = nowMs + delayMs, order = nextOrder++, periodMs = null, task = task))

    /** Moves time forward by [byMs] milliseconds and runs each due task at its due time. */
    fun advance(byMs: Long) {
        val endMs = nowMs + byMs
        while (true) {
            val entry = queue.peek()?.takeIf { it.dueMs <= endMs } ?: break
            queue.poll()
            nowMs = maxOf(nowMs, entry.dueMs)
            run(entry)
        }
        nowMs = endMs
    }

    /** Moves time forward by [byMs] milliseconds without running tasks, as if the process were paused. */
    fun pause(byMs: Long) {
        nowMs += byMs
    }

    private fun run(entry: Entry) {
        if (entry.cancelled) return
        entry.periodMs?.let { queue.add(entry.copy(dueMs = nowMs + it).also { next -> next.shareCancelWith(entry) }) }
        entry.task()
    }

    private fun add(entry: Entry): Subscription {
        queue.add(entry)
        return Subscription { entry.cancel() }
    }

    private data class Entry(
        val dueMs: Long,
        val order: Long,
        val periodMs: Long?,
        val task: () -> Unit,
    ) {
        private var flag = CancelFlag()
        val cancelled: Boolean get() = flag.cancelled

        fun cancel() {
            flag.cancelled = true
        }

        fun shareCancelWith(other: Entry) {
            flag = other.flag
        }
    }

    private class CancelFlag(
        var cancelled: Boolean = false,
    )
}
