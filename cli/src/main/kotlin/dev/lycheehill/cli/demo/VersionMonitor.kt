package dev.lycheehill.cli.demo

import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Watches the version in force on each node: finds regressions and the time at which a version is on all nodes. */
class VersionMonitor : AutoCloseable {
    private val sources = ConcurrentHashMap<String, () -> Long>()
    private val seen = ConcurrentHashMap<String, Long>()
    private val onAllNodesNanos = ConcurrentHashMap<Long, Long>()

    @Volatile
    private var running = true

    @Volatile
    private var regressionCount = 0

    private val poller = thread(name = "demo-version-watch", isDaemon = true) { poll() }

    /** How often a node showed a lower version than before. */
    val regressions: Int get() = regressionCount

    /** Starts to watch the node [nodeId]. */
    fun add(
        nodeId: String,
        version: () -> Long,
    ) {
        seen[nodeId] = 0
        sources[nodeId] = version
    }

    /** Stops to watch a node that is gone. */
    fun remove(nodeId: String) {
        sources.remove(nodeId)
    }

    /** Returns the lowest version on the watched nodes. */
    fun lowest(): Long = sources.values.minOfOrNull { it() } ?: 0

    /** Waits until [version] or a later one is on all nodes; returns the time since [sinceNanos] in milliseconds, or null. */
    fun awaitOnAllNodes(
        version: Long,
        sinceNanos: Long,
        timeoutMs: Long,
    ): Long? {
        val endNanos = System.nanoTime() + timeoutMs * NANOS_PER_MILLI
        while (System.nanoTime() < endNanos) {
            onAllNodesNanos[version]?.let { return (it - sinceNanos) / NANOS_PER_MILLI }
            Thread.sleep(POLL_MS)
        }
        return null
    }

    override fun close() {
        running = false
        poller.join()
    }

    private fun poll() {
        var noted = 0L
        while (running) {
            val versions = sources.mapValues { it.value() }
            versions.forEach(::check)
            val lowest = versions.values.minOrNull() ?: 0
            val now = System.nanoTime()
            while (noted < lowest) onAllNodesNanos[++noted] = now
            Thread.sleep(POLL_MS)
        }
    }

    private fun check(
        nodeId: String,
        version: Long,
    ) {
        val before = seen.put(nodeId, version) ?: 0
        if (version < before) regressionCount++
    }

    private companion object {
        const val POLL_MS = 1L
        const val NANOS_PER_MILLI = 1_000_000
    }
}
