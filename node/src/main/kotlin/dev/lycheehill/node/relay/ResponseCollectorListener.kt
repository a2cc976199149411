package dev.lycheehill.node.relay

import dev.lycheehill.node.upstream.ExchangeFailure

/** Receives the outcome of one attempt from a [ResponseCollector]. */
internal interface ResponseCollectorListener {
    /** The whole response arrived. */
    fun onComplete(response: CollectedResponse)

    /** The response is too long to be held. The receiver streams or cancels it before it returns. */
    fun onTooLarge(collector: ResponseCollector)

    /** There is no whole response. After [onTooLarge] the part that was streamed is incomplete. */
    fun onFailure(failure: ExchangeFailure)

    /** The response that was streamed has ended. */
    fun onStreamComplete()
}
