package dev.lycheehill.core.time

/** A registration with a [TimerService] that can be cancelled. */
fun interface Subscription {
    /** Stops further runs of the task. A run that is in progress is not interrupted. */
    fun cancel()
}
