package dev.lycheehill.node

/** A response as [RawClient] read it. [status] is 0 when the connection closed before a response. */
data class RawResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
    val isComplete: Boolean,
) {
    val verdict: String? get() = headers["lycheehill-verdict"]
    val reason: String? get() = headers["lycheehill-reason"]
}
