package dev.lycheehill.node.api

/** Response of the local API. */
class ApiResponse private constructor(
    /** HTTP status code. */
    val status: Int,
    /** Value of the content type header. */
    val contentType: String,
    /** Response body. */
    val text: String,
) {
    companion object {
        private const val JSON_TYPE = "application/json"

        /** A response with [value] as JSON. */
        fun json(
            value: Any,
            status: Int = 200,
        ) = ApiResponse(status, JSON_TYPE, ApiJson.write(value))

        /** A response with an object without fields. */
        fun empty() = ApiResponse(200, JSON_TYPE, "{}")

        /** A response with plain [text], as for Prometheus. */
        fun text(text: String) = ApiResponse(200, "text/plain; version=0.0.4; charset=utf-8", text)

        /** A refusal with the reason for the operator. */
        fun error(
            status: Int,
            message: String,
        ) = ApiResponse(status, JSON_TYPE, ApiJson.error(message))
    }
}
