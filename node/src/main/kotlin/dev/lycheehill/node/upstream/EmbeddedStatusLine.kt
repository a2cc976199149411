package dev.lycheehill.node.upstream

import io.netty.handler.codec.http.HttpResponse

private val STATUS_LINE = Regex("""HTTP/1\.[01] \d{3}""")

/**
 * Returns whether the reason phrase or a header value contains a status line. The head then consists of the beginning of another
 * response and of the response itself, and its status and headers belong to neither.
 */
internal fun HttpResponse.containsEmbeddedStatusLine(): Boolean =
    isEmbeddedIn(status().reasonPhrase()) || headers().iteratorCharSequence().asSequence().any { isEmbeddedIn(it.value) }

// The search for a fixed text is cheaper than the pattern, and almost always fails.
private fun isEmbeddedIn(text: CharSequence): Boolean = text.contains("HTTP/1.") && STATUS_LINE.containsMatchIn(text)
