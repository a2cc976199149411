package dev.lycheehill.node.http

/** Receives events of the caller's connection while a call is being handled. */
internal interface InboundCallListener {
    /** The caller's connection was closed, so nobody waits for the response. */
    fun onCallerDisconnected()

    /** Returns the progress of the call. */
    fun progress(): CallProgress

    /** The caller's connection has become writable after [InboundCall.isWritable] was false. */
    fun onWritable()
}
