package dev.lycheehill.node.relay

import dev.lycheehill.node.upstream.ExchangeFailure

/** Receives the outcome of one attempt from a [ResponseCollector]. */
internal interface CollectorListener {
    /** The whole response arrived. */
    fun onWhole(response: CollectedResponse)

    /** The response is too long to be held. The receiver streams or cancels it before it returns. */
    fun onTooLong(collector: ResponseCollector)

    /** There is no whole response. After [onTooLong] the part that was streamed is incomplete. */
    fun onFailure(failure: ExchangeFailure)

    /** The response that was streamed has ended. */
    fun onStreamed()
}
