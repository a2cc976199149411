package dev.lycheehill.node.upstream

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse

/** Receives the response of one [Exchange] on its event loop. No event follows [onFailure] or the last content. */
internal interface ExchangeListener {
    /** Returns whether [response] belongs to another request and has to be skipped. */
    fun belongsToOtherRequest(response: HttpResponse): Boolean = false

    /** The head of the response was received. */
    fun onResponse(response: HttpResponse)

    /** A part of the body was received. A `LastHttpContent` ends the response. The listener takes over the reference to [content]. */
    fun onContent(content: HttpContent)

    /** All bytes that were available have been passed to [onContent]. */
    fun onReadComplete() = Unit

    /** The exchange ended without a complete response. */
    fun onFailure(failure: ExchangeFailure)
}
