package dev.lycheehill.node.tracing

import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** Holds the newest [capacity] spans. Adding takes no lock; the oldest span is overwritten. */
class SpanRingBuffer(
    private val capacity: Int,
) {
    private val spans = AtomicReferenceArray<RecordedSpan?>(capacity)
    private val added = AtomicLong()

    /** Adds [span] in place of the oldest one. */
    fun add(span: RecordedSpan) {
        spans.set((added.getAndIncrement() % capacity).toInt(), span)
    }

    /** Returns the spans that match [predicate], the oldest first. */
    fun select(predicate: (RecordedSpan) -> Boolean): List<RecordedSpan> {
        val end = added.get()
        return (maxOf(0, end - capacity) until end).mapNotNull { spans.get((it % capacity).toInt()) }.filter(predicate)
    }
}
