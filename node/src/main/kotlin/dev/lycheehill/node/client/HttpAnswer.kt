package dev.lycheehill.node.client

/** A whole response. */
class HttpAnswer(
    val status: Int,
    val body: ByteArray,
)
