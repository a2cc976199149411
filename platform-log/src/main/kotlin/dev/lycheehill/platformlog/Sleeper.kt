package dev.lycheehill.platformlog

/** Suspends the calling thread. Tests replace it to move a fake clock. */
fun interface Sleeper {
    /** Waits for [durationMs] milliseconds. Throws [InterruptedException] when the thread is interrupted. */
    fun sleep(durationMs: Long)

    companion object {
        /** Waits in real time. */
        val SYSTEM: Sleeper = Sleeper { Thread.sleep(it) }
    }
}
