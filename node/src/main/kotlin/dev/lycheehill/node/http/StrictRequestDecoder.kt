package dev.lycheehill.node.http

import dev.lycheehill.node.DataPathSettings
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Request decoder that rejects messages with both `Content-Length` and `Transfer-Encoding`, which allow request smuggling. */
internal class StrictRequestDecoder(
    settings: DataPathSettings,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(settings.maxInitialLineBytes)
            .setMaxHeaderSize(settings.maxHeaderBytes),
    ) {
    // The default implementation reads the annotations of the class by reflection, which slows the start by some milliseconds.
    override fun isSharable(): Boolean = false

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding")
}
