package dev.lycheehill.node.api

/** JSON body of a refusal. */
data class ApiError(
    val error: String,
)
