package dev.lycheehill.platformlog

/** Blocks the calling thread for a time. Tests use an implementation that advances a fake clock. */
fun interface Sleeper {
    /** Blocks for [durationMs] milliseconds. Throws [InterruptedException] when the thread is interrupted. */
    fun sleep(durationMs: Long)

    companion object {
        /** Sleeps in real time. */
        val SYSTEM: Sleeper = Sleeper { Thread.sleep(it) }
    }
}
