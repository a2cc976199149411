package dev.lycheehill.core.time

/** Registration of a task or a listener that can be cancelled. */
fun interface Subscription {
    /** Prevents further calls. A call in progress is not interrupted. */
    fun cancel()
}
