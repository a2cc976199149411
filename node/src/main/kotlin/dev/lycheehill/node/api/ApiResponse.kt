package dev.lycheehill.node.api

/** A response of the local API. */
class ApiResponse private constructor(
    /** HTTP status code. */
    val status: Int,
    /** Value of the `Content-Type` header. */
    val contentType: String,
    /** Response body. */
    val text: String,
) {
    companion object {
        private const val JSON_TYPE = "application/json"

        /** Returns a response with [value] as JSON. */
        fun json(
            value: Any,
            status: Int = 200,
        ) = ApiResponse(status, JSON_TYPE, ApiJson.write(value))

        /** Returns a response with an empty JSON object. */
        fun empty() = ApiResponse(200, JSON_TYPE, "{}")

        /** Returns a response with [text] in the Prometheus text format. */
        fun text(text: String) = ApiResponse(200, "text/plain; version=0.0.4; charset=utf-8", text)

        /** Returns an error response whose JSON body holds [message] for the operator. */
        fun error(
            status: Int,
            message: String,
        ) = ApiResponse(status, JSON_TYPE, ApiJson.error(message))
    }
}
