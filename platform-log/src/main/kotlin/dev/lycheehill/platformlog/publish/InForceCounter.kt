package dev.lycheehill.platformlog.publish

/** Counts the nodes on which a version is in force. */
fun interface InForceCounter {
    /** Counts the nodes that are known to serve [version] or a later one. */
    fun count(version: Long): InForceCount
}
