package dev.lycheehill.node.egress

import dev.lycheehill.node.http.CallHeaders
import io.netty.handler.codec.http.HttpHeaders

/** Reads trace ids from W3C trace contexts. The trace id also identifies the call tree. */
internal object TraceIds {
    private const val TRACE_ID_START = 3
    private const val TRACE_ID_END = 35

    /** Returns the trace id of the `traceparent` header, or null if the header is missing or malformed. */
    fun traceIdOf(headers: HttpHeaders): String? {
        val value = headers.get(CallHeaders.TRACEPARENT) ?: return null
        return if (value.length > TRACE_ID_END && value[TRACE_ID_END] == '-') value.substring(TRACE_ID_START, TRACE_ID_END) else null
    }
}
