package dev.lycheehill.platformlog

/** Suspends the calling thread. Tests replace it to move a fake clock. */
fun interface Pause {
    /** Waits for [durationMs] milliseconds. Throws [InterruptedException] when the thread is interrupted. */
    fun sleep(durationMs: Long)

    companion object {
        /** Waits in real time. */
        val SYSTEM: Pause = Pause { Thread.sleep(it) }
    }
}
