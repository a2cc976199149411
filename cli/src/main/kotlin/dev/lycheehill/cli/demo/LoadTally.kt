package dev.lycheehill.cli.demo

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts requests by outcome and remembers what the callers were told about each order. Thread-safe. */
class LoadTally {
    private val outcomes = RequestOutcome.entries.associateWith { LongAdder() }
    private val orders = ConcurrentHashMap<String, RequestOutcome>()
    private val started = LongAdder()

    /** Requests that callers began to send. */
    val sent: Long get() = started.sum()

    /** Requests that have not ended. */
    val inFlight: Long get() = sent - outcomes.values.sumOf { it.sum() }

    /** Outcome by idempotency key of the orders that have ended. */
    val endedOrders: Map<String, RequestOutcome> get() = orders

    /** Returns the number of requests that ended with [outcome]. */
    fun count(outcome: RequestOutcome): Long = outcomes.getValue(outcome).sum()

    /** Counts a request that is about to be sent. */
    fun begin() = started.increment()

    /** Counts the end of [request]. */
    fun end(
        request: DemoRequest,
        outcome: RequestOutcome,
    ) {
        request.key?.let { orders[it] = outcome }
        outcomes.getValue(outcome).increment()
    }
}
