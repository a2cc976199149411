package dev.lycheehill.node.metrics

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Keeps what is to be recorded until [stopDeferring] is called, so that a node that starts under load makes no meter while callers
 * wait. Nothing is lost: what was kept is recorded by [stopDeferring], which [add] itself calls at [MAX_DEFERRED] recordings.
 *
 * Thread-safe.
 */
internal class DeferredRecordings(
    isImmediate: Boolean,
) {
    /** Whether meters are used at once. */
    @Volatile
    var isImmediate = isImmediate
        private set

    private val kept = ConcurrentLinkedQueue<() -> Unit>()
    private val size = AtomicInteger()

    /** Keeps [recording], or runs it when recordings are no longer kept. */
    fun add(recording: () -> Unit) {
        if (isImmediate) return recording()
        kept.add(recording)
        // Another thread may have opened in between and found the queue empty.
        if (size.incrementAndGet() >= MAX_DEFERRED || isImmediate) stopDeferring()
    }

    /** Runs what was kept; from now on, meters are used at once. */
    fun stopDeferring() {
        isImmediate = true
        while (true) kept.poll()?.invoke() ?: return
    }

    companion object {
        /** Recordings of some seconds of a busy node. */
        const val MAX_DEFERRED = 4_096
    }
}
