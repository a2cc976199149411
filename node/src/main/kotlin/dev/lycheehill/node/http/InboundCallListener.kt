package dev.lycheehill.node.http

/** Events of the caller's connection while a call is being served. */
internal interface InboundCallListener {
    /** The caller closed its connection, so nobody waits for the response. */
    fun onCallerDisconnected()

    /** The caller's connection accepts more data after [InboundCall.isWritable] was false. */
    fun onWritable()
}
