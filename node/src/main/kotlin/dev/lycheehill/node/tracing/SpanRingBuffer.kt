package dev.lycheehill.node.tracing

import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** A ring buffer of the newest [capacity] spans. Thread-safe; [add] takes no lock. */
class SpanRingBuffer(
    private val capacity: Int,
) {
    private val spans = AtomicReferenceArray<RecordedSpan?>(capacity)
    private val addedCount = AtomicLong()

    /** Adds [span] and overwrites the oldest span if the buffer is full. */
    fun add(span: RecordedSpan) {
        spans.set((addedCount.getAndIncrement() % capacity).toInt(), span)
    }

    /** Returns the spans that match [predicate], oldest first. */
    fun select(predicate: (RecordedSpan) -> Boolean): List<RecordedSpan> {
        val end = addedCount.get()
        return (maxOf(0, end - capacity) until end).mapNotNull { spans.get((it % capacity).toInt()) }.filter(predicate)
    }
}
