package dev.lycheehill.node.metrics

import java.util.concurrent.atomic.AtomicLongArray

/** Counts by [CallSource] and [CloseCause]. Thread-safe. */
internal class CauseCounts {
    private val counts = AtomicLongArray(CallSource.entries.size * CloseCause.entries.size)

    /** Sum of all counts. */
    val total: Long get() = (0 until counts.length()).sumOf(counts::get)

    /** Adds 1 to the count of [source] and [cause]. */
    fun increment(
        source: CallSource,
        cause: CloseCause,
    ) {
        counts.incrementAndGet(indexOf(source, cause))
    }

    /** Returns the count of [source] and [cause]. */
    fun of(
        source: CallSource,
        cause: CloseCause,
    ): Long = counts.get(indexOf(source, cause))

    private fun indexOf(
        source: CallSource,
        cause: CloseCause,
    ) = source.ordinal * CloseCause.entries.size + cause.ordinal
}
