package dev.lycheehill.cli.demo

/** A route of the demo: requests below [path] go to [service]. */
data class DemoRoute(
    val name: String,
    val path: String,
    val service: String,
)
