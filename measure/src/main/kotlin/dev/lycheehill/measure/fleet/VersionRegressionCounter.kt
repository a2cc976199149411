package dev.lycheehill.measure.fleet

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLongArray

/** Counts the times that a node's version went back. Each node is observed by one thread at a time. */
class VersionRegressionCounter(
    size: Int,
) {
    private val highest = AtomicLongArray(size)
    private val count = AtomicInteger()

    /** Number of regressions so far. */
    val regressions: Int get() = count.get()

    fun observe(
        node: Int,
        version: Long,
    ) {
        if (version < highest[node]) count.incrementAndGet()
        highest[node] = version
    }

    /** Forgets nodes that were replaced by new ones. */
    fun forget(nodes: List<Int>) = nodes.forEach { highest[it] = 0 }
}
