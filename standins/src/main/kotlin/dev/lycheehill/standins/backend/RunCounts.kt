package dev.lycheehill.standins.backend

/** How often the request with one key began to run, and how the runs ended. */
data class RunCounts(
    val started: Int = 0,
    val finished: Int = 0,
    val cancelled: Int = 0,
)
