package dev.lycheehill.node.upstream

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse

/** Receives the response of one [Exchange] on its event loop. After [onFailure] or the last content nothing follows. */
internal interface ExchangeListener {
    /** Whether [response] belongs to another request and is passed over. */
    fun belongsToOtherRequest(response: HttpResponse): Boolean = false

    /** The head of the response arrived. */
    fun onResponse(response: HttpResponse)

    /** A part of the body arrived; a `LastHttpContent` ends the response. The receiver takes over the reference. */
    fun onContent(content: HttpContent)

    /** There is no whole response. */
    fun onFailure(failure: ExchangeFailure)
}
