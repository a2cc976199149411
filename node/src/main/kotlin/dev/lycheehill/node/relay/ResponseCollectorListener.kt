package dev.lycheehill.node.relay

import dev.lycheehill.node.upstream.ExchangeFailure

/** Receives the outcome of one attempt from a [ResponseCollector]. */
internal interface ResponseCollectorListener {
    /** The complete response was received. */
    fun onComplete(response: CollectedResponse)

    /** The response is too large to be buffered. The listener has to stream or cancel the response before this call returns. */
    fun onTooLarge(collector: ResponseCollector)

    /** The response is missing or incomplete. After [onTooLarge], the part streamed so far is incomplete. */
    fun onFailure(failure: ExchangeFailure)

    /** The streamed response is complete. */
    fun onStreamComplete()
}
