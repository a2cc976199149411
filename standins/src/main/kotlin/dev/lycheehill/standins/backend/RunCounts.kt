package dev.lycheehill.standins.backend

/**
 * Number of runs of the request with one key.
 *
 * @property started runs that started.
 * @property finished runs that completed.
 * @property cancelled runs that were cancelled because the connection closed.
 */
data class RunCounts(
    val started: Int = 0,
    val finished: Int = 0,
    val cancelled: Int = 0,
)
