package dev.lycheehill.cli.demo

/** Route of the demo: requests whose path starts with [path] go to [service]. */
data class DemoRoute(
    val name: String,
    val path: String,
    val service: String,
)
