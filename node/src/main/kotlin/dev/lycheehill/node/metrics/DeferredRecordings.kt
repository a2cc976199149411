package dev.lycheehill.node.metrics

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Defers the recording of metrics until [stopDeferring] is called, so that a node that starts under load creates no meters
 * while callers wait.
 *
 * No recording is lost: [stopDeferring] runs the deferred recordings, and [add] calls it after [MAX_DEFERRED] recordings.
 *
 * Thread-safe.
 */
internal class DeferredRecordings(
    isImmediate: Boolean,
) {
    /** Whether [add] runs a recording immediately. */
    @Volatile
    var isImmediate = isImmediate
        private set

    private val deferred = ConcurrentLinkedQueue<() -> Unit>()
    private val deferredCount = AtomicInteger()

    /** Defers [recording], or runs it if recordings are no longer deferred. */
    fun add(recording: () -> Unit) {
        if (isImmediate) return recording()
        deferred.add(recording)
        // Another thread may have stopped the deferral after the first check, before this recording was in the queue.
        if (deferredCount.incrementAndGet() >= MAX_DEFERRED || isImmediate) stopDeferring()
    }

    /** Runs the deferred recordings. From then on, [add] runs each recording immediately. */
    fun stopDeferring() {
        isImmediate = true
        while (true) deferred.poll()?.invoke() ?: return
    }

    companion object {
        /** Maximum number of deferred recordings: those of several seconds of a busy node. */
        const val MAX_DEFERRED = 4_096
    }
}
