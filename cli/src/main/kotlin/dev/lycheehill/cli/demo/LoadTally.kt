package dev.lycheehill.cli.demo

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts requests by outcome and records the outcome of each order. Thread-safe. */
class LoadTally {
    private val outcomes = RequestOutcome.entries.associateWith { LongAdder() }
    private val orders = ConcurrentHashMap<String, RequestOutcome>()
    private val started = LongAdder()

    /** Number of requests that were started. */
    val sent: Long get() = started.sum()

    /** Number of requests without an outcome yet. */
    val inFlight: Long get() = sent - outcomes.values.sumOf { it.sum() }

    /** Outcomes of the ended orders, by the idempotency key of the first attempt. */
    val endedOrders: Map<String, RequestOutcome> get() = orders

    /** Returns the number of requests that ended with [outcome]. */
    fun count(outcome: RequestOutcome): Long = outcomes.getValue(outcome).sum()

    /** Records that a request is about to be sent. */
    fun recordStart() = started.increment()

    /** Records that [request] ended with [outcome]. */
    fun recordEnd(
        request: DemoRequest,
        outcome: RequestOutcome,
    ) {
        request.key?.let { orders[it] = outcome }
        outcomes.getValue(outcome).increment()
    }
}
