package dev.lycheehill.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent

/**
 * Response decoder that accepts only what RFC 9112 defines as a response. The decoder of Netty is more lenient with status lines.
 *
 * A malformed message has a failed [HttpObject.decoderResult]. The receiver has to close the connection then.
 */
open class StrictResponseDecoder : HttpResponseDecoder() {
    private var isAtStart = true

    // The default implementation reads the annotations of the class by reflection, which slows the start by some milliseconds.
    override fun isSharable(): Boolean = false

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (isAtStart && buffer.isReadable && !startHead(buffer, out)) return
        val firstNew = out.size
        super.decode(ctx, buffer, out)
        if (out.size > firstNew && out.last() is LastHttpContent) isAtStart = true
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, statusCode, reasonPhrase) = initialLine
        require(ResponseSyntax.isVersion(version)) { "invalid HTTP version" }
        require(ResponseSyntax.isStatusCode(statusCode)) { "invalid status code" }
        require(ResponseSyntax.isReasonPhrase(reasonPhrase)) { "invalid reason phrase" }
        val message = super.createMessage(initialLine)
        // Requests are sent without the header Upgrade, so that a peer must not switch protocols.
        require((message as HttpResponse).status() != HttpResponseStatus.SWITCHING_PROTOCOLS) { "unexpected change of protocol" }
        return message
    }

    override fun splitSecondWordInitialLine(
        line: ByteArray,
        start: Int,
        length: Int,
    ): String {
        require(line[start - 1] == SPACE && line[start - 2] > SPACE) { "status code does not follow a single space" }
        return super.splitSecondWordInitialLine(line, start, length)
    }

    override fun splitThirdWordInitialLine(
        line: ByteArray,
        start: Int,
        length: Int,
    ): String {
        var separator = start
        while (line[separator - 1] == SPACE || line[separator - 1] == TAB) separator--
        require(line[separator] == SPACE && line[separator - 1] > SPACE) { "reason phrase does not follow a space" }
        return super.splitThirdWordInitialLine(line, start, length)
    }

    // The decoder of Netty skips control characters and whitespace in front of a status line.
    private fun startHead(
        buffer: ByteBuf,
        out: MutableList<Any>,
    ): Boolean {
        if (buffer.getByte(buffer.readerIndex()) != FIRST_OF_VERSION) {
            buffer.skipBytes(buffer.readableBytes())
            out.add(createInvalidMessage().also { it.decoderResult = failure("response does not start with a version") })
            return false
        }
        isAtStart = false
        return true
    }

    private fun failure(reason: String) = DecoderResult.failure(IllegalArgumentException(reason))

    private companion object {
        const val FIRST_OF_VERSION = 'H'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
    }
}
