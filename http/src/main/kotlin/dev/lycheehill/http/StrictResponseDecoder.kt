package dev.lycheehill.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString

/**
 * Response decoder that accepts only what RFC 9112 defines as a response. The decoder of Netty is more lenient with status lines,
 * with whitespace in the names of fields, and with the end of a connection.
 *
 * A malformed message has a failed [HttpObject.decoderResult]. The receiver has to close the connection then.
 */
open class StrictResponseDecoder : HttpResponseDecoder() {
    /**
     * Whether the request was written completely. While it is not, the end of the connection does not end a body without a length:
     * the peer has not read the request, so it may have been interrupted.
     */
    var isRequestSent = true

    private var section = Section.START
    private var isAtLineStart = false
    private var hasFoldedLine = false
    private var hasConnectionFailed = false

    // The default implementation reads the annotations of the class by reflection, which slows the start by some milliseconds.
    override fun isSharable(): Boolean = false

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (section == Section.START && buffer.isReadable && !startHead(buffer, out)) return
        val decodedFrom = buffer.readerIndex()
        val firstNew = out.size
        super.decode(ctx, buffer, out)
        if (section == Section.HEAD || section == Section.TRAILERS) findFoldedLine(buffer, decodedFrom)
        for (index in firstNew until out.size) onDecoded(out[index] as HttpObject)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        hasConnectionFailed = true
        super.exceptionCaught(ctx, cause)
    }

    // Called when the connection has ended. The decoder of Netty takes any end, also a reset, for the end of a body without a length.
    override fun decodeLast(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val isOrderlyEnd = isRequestSent && !hasConnectionFailed
        if (isOrderlyEnd) super.decodeLast(ctx, buffer, out) else buffer.skipBytes(buffer.readableBytes())
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

    // The decoder of Netty ends a name at the first blank and ignores the bytes between the blank and the colon.
    override fun splitHeaderName(
        line: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        require(length > 0 && line[start + length] == COLON) { "field name contains whitespace" }
        if (section == Section.BODY) section = Section.TRAILERS
        return super.splitHeaderName(line, start, length)
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
        section = Section.HEAD
        isAtLineStart = false
        hasFoldedLine = false
        return true
    }

    private fun findFoldedLine(
        buffer: ByteBuf,
        from: Int,
    ) {
        val end = buffer.readerIndex()
        var index = from
        while (index < end) {
            val first = buffer.getByte(index)
            if (isAtLineStart && (first == SPACE || first == TAB)) hasFoldedLine = true
            val lineFeed = buffer.indexOf(index, end, LINE_FEED)
            isAtLineStart = lineFeed >= 0
            index = if (isAtLineStart) lineFeed + 1 else end
        }
    }

    private fun onDecoded(message: HttpObject) {
        // Line folding is obsolete; a line that starts with a blank may as well be a field with a malformed name.
        if (hasFoldedLine && (message is HttpResponse || message is LastHttpContent)) {
            hasFoldedLine = false
            message.decoderResult = failure("folded line")
        }
        if (message is HttpResponse) {
            section = Section.BODY
            if (!hasKnownTransferCoding(message)) message.decoderResult = failure("unknown transfer coding")
        }
        if (message is LastHttpContent) section = Section.START
    }

    // No request accepts another transfer coding, and without it the body could not be forwarded.
    private fun hasKnownTransferCoding(response: HttpResponse): Boolean {
        val codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return codings.isEmpty() || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.singleOrNull()?.trim())
    }

    private fun failure(reason: String) = DecoderResult.failure(IllegalArgumentException(reason))

    private enum class Section { START, HEAD, BODY, TRAILERS }

    private companion object {
        const val FIRST_OF_VERSION = 'H'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
        const val COLON = ':'.code.toByte()
    }
}
