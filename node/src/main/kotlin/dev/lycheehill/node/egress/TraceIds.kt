package dev.lycheehill.node.egress

import dev.lycheehill.node.http.CallHeaders
import io.netty.handler.codec.http.HttpHeaders

/** Reads trace ids of W3C trace contexts. A trace id also names the call tree. */
internal object TraceIds {
    private const val START = 3
    private const val END = 35

    /** Returns the trace id of the `traceparent` header, or null without a well-formed one. */
    fun traceIdOf(headers: HttpHeaders): String? {
        val value = headers.get(CallHeaders.TRACEPARENT) ?: return null
        return if (value.length > END && value[END] == '-') value.substring(START, END) else null
    }
}
