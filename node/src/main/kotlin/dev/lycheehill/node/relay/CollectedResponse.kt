package dev.lycheehill.node.relay

import dev.lycheehill.node.dialect.BackendResponseKind
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** A complete response. The receiver takes over the reference to [body]. */
internal class CollectedResponse(
    val status: HttpResponseStatus,
    val headers: HttpHeaders,
    val body: ByteBuf,
    val kind: BackendResponseKind,
)
