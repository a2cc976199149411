package dev.lycheehill.node

/**
 * A response as [RawClient] read it.
 *
 * @property status status of the response; 0 if the connection closed before a response.
 * @property isComplete whether the response was received up to its end.
 */
data class RawResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
    val isComplete: Boolean,
) {
    val verdict: String? get() = headers["lycheehill-verdict"]
    val reason: String? get() = headers["lycheehill-reason"]
}
