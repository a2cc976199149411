package dev.lycheehill.node.http

/** Handles the calls that one listening socket receives. Runs on the event loop of the caller's connection and must not block. */
internal fun interface CallHandler {
    /** Starts to handle [call]. The handler responds exactly once, immediately or later, on the same event loop. */
    fun handle(call: InboundCall)

    /** Returns whether [call] may be handled while earlier requests of its connection are still being handled. */
    fun mayRunConcurrently(call: InboundCall): Boolean = false
}
