package dev.lycheehill.platformlog.publish

/** Counts the nodes that serve a version. */
fun interface InForceCounter {
    /** Counts the nodes that serve [version] or a later one, as known at the moment. */
    fun count(version: Long): InForceCount
}
