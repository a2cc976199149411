package dev.lycheehill.measure.fleet

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLongArray

/** Counts version regressions of nodes. Calls for the same node must not be concurrent. */
class VersionRegressionCounter(
    size: Int,
) {
    private val lastVersions = AtomicLongArray(size)
    private val regressionCount = AtomicInteger()

    /** Number of times so far at which a node reported a lower version than before. */
    val regressions: Int get() = regressionCount.get()

    fun observe(
        node: Int,
        version: Long,
    ) {
        if (version < lastVersions[node]) regressionCount.incrementAndGet()
        lastVersions[node] = version
    }

    /** Resets the versions of [nodes], which were replaced by new nodes with empty state. */
    fun reset(nodes: List<Int>) = nodes.forEach { lastVersions[it] = 0 }
}
