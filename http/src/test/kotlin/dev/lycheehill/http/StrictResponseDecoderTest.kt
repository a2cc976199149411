package dev.lycheehill.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException

/** Tests responses that arrive in one part, in two parts that are split at each position, and byte by byte. */
class StrictResponseDecoderTest {
    /** Guards against a response that is rejected or changed although it follows the RFC. Lines end with `~`. */
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            // response | status and reason | fields | body | trailers
            "HTTP/1.1 200 OK~Content-Length: 2~~ab | 200 OK | Content-Length=2 | ab | ''",
            "HTTP/1.1 100 ~Content-Length: 0~~HTTP/1.1 200 OK~Content-Length: 0~~ | 200 OK | Content-Length=0 | '' | ''",
            "HTTP/1.1 103 Early Hints~Link: </a>~~HTTP/1.1 102 P~~HTTP/1.1 404 No~Content-Length: 0~~ | 404 No | Content-Length=0 | '' | ''",
            "HTTP/1.0 599 Last Status~Content-Length: 1~~a | 599 Last Status | Content-Length=1 | a | ''",
            "HTTP/1.1 200 ~Content-Length: 0~~ | '200 ' | Content-Length=0 | '' | ''",
            "HTTP/1.1 200~Content-Length: 0~~ | '200 ' | Content-Length=0 | '' | ''",
            "HTTP/1.1 207 \u00fcber\twe\u00e9k 100%~Content-Length: 0~~ | 207 \u00fcber\twe\u00e9k 100% | Content-Length=0 | '' | ''",
            "HTTP/1.1 201 Created~aZ09!#$%&'*+-.^_`{VBAR}T: v~Content-Length: 0~~ | 201 Created | aZ09!#$%&'*+-.^_`{VBAR}T=v;Content-Length=0 | '' | ''",
            "HTTP/1.1 200 OK~A:~B:v~C: \tv w\t ~D: \u00e4:b~Content-Length: 0~~ | 200 OK | A=;B=v;C=v w;D=\u00e4:b;Content-Length=0 | '' | ''",
            "HTTP/1.1 200 OK~Set-Cookie: a~Set-Cookie: b~Content-Length: 0~~ | 200 OK | Set-Cookie=a;Set-Cookie=b;Content-Length=0 | '' | ''",
            "HTTP/1.1 204 No Content~~ | 204 No Content | '' | '' | ''",
            "HTTP/1.1 304 Not Modified~Content-Length: 9~~ | 304 Not Modified | Content-Length=9 | '' | ''",
            "HTTP/1.1 200 OK~T: v~~all that follows ~ until the end | 200 OK | T=v | all that follows ~ until the end | ''",
            "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3;e=1;f=\"g h\"~abc~00A~0123456789~0~~ | 200 OK | Transfer-Encoding=chunked | abc0123456789 | ''",
            "HTTP/1.1 200 OK~Transfer-Encoding: Chunked ~~A~a~ b~\t: ~0;last~T-A: 1~T-B: 2 3~~ | 200 OK | Transfer-Encoding=Chunked | 'a~ b~\t: ' | T-A=1;T-B=2 3",
        ],
    )
    fun `a well-formed response is decoded unchanged`(
        response: String,
        status: String,
        fields: String,
        body: String,
        trailers: String,
    ) {
        val text = response.replace("{VBAR}", "|").replace("~", "\r\n")
        val expected = listOf(status, fields.replace("{VBAR}", "|"), body.replace("~", "\r\n"), trailers, "complete").joinToString("\n")
        for (parts in splits(text)) {
            expectThat(decode(parts)).describedAs("$parts") isEqualTo expected
        }
    }

    /** Guards against a malformed line that is accepted because of where the bytes are split. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 Zero~~", "HTTP/1.1 600 High~~", "HTTP/1.1 2000 Long~~", "HTTP/1.1  200 Blanks~~", "HTTP/1.1 200\tTab~~",
            "~HTTP/1.1 200 OK~~",
            "HTTP/1.1 200 OK~X Y: 1~~", "HTTP/1.1 200 OK~X : 1~~", "HTTP/1.1 200 OK~ X: 1~~", "HTTP/1.1 200 OK~A: 1~ folded~~",
            "HTTP/1.1 200 OK~X\u0001: 1~~", "HTTP/1.1 103 Early Hints~X Y: 1~~HTTP/1.1 200 OK~~", "HTTP/1.1 101 Switching Protocols~~",
            "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a~0~X : 1~~", "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a~0~ X: 1~~",
            "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a~0~T: 1~ folded~~", "HTTP/1.1 200 OK~Transfer-Encoding: gzip, chunked~~0~~",
        ],
    )
    fun `a malformed response has a failed result`(response: String) {
        for (parts in splits(response.replace("~", "\r\n"))) {
            expectThat(decode(parts).substringAfterLast("\n")).describedAs("$parts") isEqualTo "malformed"
        }
    }

    /** Guards against an interrupted body without a length that looks complete. */
    @ParameterizedTest
    @CsvSource("true, false, complete", "false, false, incomplete", "true, true, incomplete", "false, true, incomplete")
    fun `a body without a length is complete only at an orderly end`(
        isRequestSent: Boolean,
        isReset: Boolean,
        expected: String,
    ) {
        val decoder = StrictResponseDecoder().apply { this.isRequestSent = isRequestSent }
        expectThat(decode(listOf("HTTP/1.1 200 OK\r\n\r\nbody"), decoder, isReset).substringAfterLast("\n")) isEqualTo expected
    }

    /** Guards against a malformed response that is completed by lines of an earlier response on the connection. */
    @Test
    fun `a short status line is rejected behind a longer one`() {
        val texts = listOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 20\r\nContent-Length: 0\r\n\r\n")
        expectThat(decode(texts).substringAfterLast("\n")) isEqualTo "malformed"
    }

    private fun splits(text: String): List<List<String>> =
        (1 until text.length).map { listOf(text.take(it), text.drop(it)) } + listOf(listOf(text), text.map { it.toString() })

    /** Returns the last response in lines: status and reason, fields, body, trailers, and whether the response is complete. */
    private fun decode(
        parts: List<String>,
        decoder: StrictResponseDecoder = StrictResponseDecoder(),
        isReset: Boolean = false,
    ): String {
        val channel = EmbeddedChannel(decoder)
        parts.forEach { channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)) }
        if (isReset) runCatching { channel.pipeline().fireExceptionCaught(IOException("reset")) }
        runCatching { channel.finish() }
        val messages = generateSequence { channel.readInbound<HttpObject>() }.toList()
        val head = messages.filterIsInstance<HttpResponse>().lastOrNull { it.status().codeClass() != HttpStatusClass.INFORMATIONAL }
        val contents = messages.dropWhile { it !== head }.filterIsInstance<HttpContent>()
        val result =
            when {
                messages.any { it.decoderResult().isFailure } -> "malformed"
                contents.lastOrNull() is LastHttpContent -> "complete"
                else -> "incomplete"
            }
        val fields = head?.headers()?.joinToString(";") { "${it.key}=${it.value}" }
        val body = contents.joinToString("") { it.content().toString(Charsets.ISO_8859_1) }
        val trailers = (contents.lastOrNull() as? LastHttpContent)?.trailingHeaders()?.joinToString(";") { "${it.key}=${it.value}" }
        messages.forEach { ReferenceCountUtil.release(it) }
        return listOf("${head?.status()?.code()} ${head?.status()?.reasonPhrase()}", fields, body, trailers, result).joinToString("\n")
    }
}
