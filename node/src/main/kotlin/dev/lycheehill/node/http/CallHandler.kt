package dev.lycheehill.node.http

/** Serves the calls of one listener. Runs on the event loop of the caller's connection and must not block. */
internal fun interface CallHandler {
    /** Starts to serve [call]. The handler answers it exactly once, now or later, on the same event loop. */
    fun handle(call: InboundCall)

    /** Whether [call] may be served while earlier requests of its connection are still being served. */
    fun mayRunConcurrently(call: InboundCall): Boolean = false
}
