package dev.lycheehill.http

/** Syntax of the status line of HTTP/1 responses (RFC 9112, section 4; RFC 9110, section 15). */
internal object ResponseSyntax {
    private const val VERSION_PREFIX = "HTTP/1."
    private const val STATUS_CODE_LENGTH = 3
    private const val DELETE = '\u007f'
    private val statusClasses = '1'..'5'
    private val digits = '0'..'9'

    /** Returns whether [text] is a version of HTTP/1, such as `HTTP/1.1`. */
    fun isVersion(text: String): Boolean =
        text.length == VERSION_PREFIX.length + 1 && text.startsWith(VERSION_PREFIX) && text.last() in digits

    /** Returns whether [text] consists of three digits, of which the first is a class of status codes. */
    fun isStatusCode(text: String): Boolean =
        text.length == STATUS_CODE_LENGTH && text.first() in statusClasses && text.all { it in digits }

    /** Returns whether [text] is a reason phrase, which may be empty. */
    fun isReasonPhrase(text: String): Boolean = text.all { it == '\t' || (it >= ' ' && it != DELETE) }
}
