package dev.lycheehill.node.http

import dev.lycheehill.node.DataPathSettings
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Request decoder that refuses a message with both a length and a transfer encoding, which two servers may read differently. */
internal class StrictRequestDecoder(
    settings: DataPathSettings,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(settings.maxInitialLineBytes)
            .setMaxHeaderSize(settings.maxHeaderBytes),
    ) {
    // The default reads the annotations of the class, which costs a start some milliseconds.
    override fun isSharable(): Boolean = false

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
}
