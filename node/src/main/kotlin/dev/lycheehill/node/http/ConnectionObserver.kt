package dev.lycheehill.node.http

import dev.lycheehill.node.metrics.CloseCause
import io.netty.handler.codec.http.HttpHeaders

/** Receives the ends of the connections of one listener, and the requests that ended with them. Called on the event loop of each connection. */
internal interface ConnectionObserver {
    /** A connection has ended. */
    fun onConnectionClosed(cause: CloseCause)

    /**
     * A call has ended without a complete response, or its response may not have arrived.
     *
     * @param error exception that ended the connection; null if there was none.
     */
    fun onUnanswered(
        call: InboundCall,
        stage: CallStage,
        cause: CloseCause,
        error: Throwable? = null,
    )

    /** A request that is not being handled was released, because its connection has ended. */
    fun onRequestReleased(
        headers: HttpHeaders,
        stage: CallStage,
        cause: CloseCause,
    )

    /** Observer that ignores all events. */
    object None : ConnectionObserver {
        override fun onConnectionClosed(cause: CloseCause) = Unit

        override fun onUnanswered(
            call: InboundCall,
            stage: CallStage,
            cause: CloseCause,
            error: Throwable?,
        ) = Unit

        override fun onRequestReleased(
            headers: HttpHeaders,
            stage: CallStage,
            cause: CloseCause,
        ) = Unit
    }
}
