package dev.lycheehill.cli.demo

import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Polls the version of each node. Counts regressions and records when a version has reached all nodes. */
class VersionMonitor : AutoCloseable {
    private val versionSources = ConcurrentHashMap<String, () -> Long>()
    private val lastVersions = ConcurrentHashMap<String, Long>()
    private val onAllNodesNanos = ConcurrentHashMap<Long, Long>()

    @Volatile
    private var isRunning = true

    @Volatile
    private var regressionCount = 0

    private val poller = thread(name = "demo-version-watch", isDaemon = true) { poll() }

    /** Number of times that a node reported a lower version than before. */
    val regressions: Int get() = regressionCount

    /** Starts to monitor the node [nodeId], whose current version [version] returns. */
    fun add(
        nodeId: String,
        version: () -> Long,
    ) {
        lastVersions[nodeId] = 0
        versionSources[nodeId] = version
    }

    /** Stops monitoring the node [nodeId]. */
    fun remove(nodeId: String) {
        versionSources.remove(nodeId)
    }

    /** Returns the lowest version of the monitored nodes, or 0 if there are none. */
    fun lowest(): Long = versionSources.values.minOfOrNull { it() } ?: 0

    /**
     * Waits until all nodes have reached [version].
     *
     * @param sinceNanos start of the measured time, from [System.nanoTime].
     * @return time from [sinceNanos] until all nodes had this or a later version, in milliseconds; null after [timeoutMs] milliseconds.
     */
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
        isRunning = false
        poller.join()
    }

    private fun poll() {
        var recordedVersion = 0L
        while (isRunning) {
            val versions = versionSources.mapValues { it.value() }
            versions.forEach(::checkRegression)
            val lowest = versions.values.minOrNull() ?: 0
            val now = System.nanoTime()
            while (recordedVersion < lowest) onAllNodesNanos[++recordedVersion] = now
            Thread.sleep(POLL_MS)
        }
    }

    private fun checkRegression(
        nodeId: String,
        version: Long,
    ) {
        val previousVersion = lastVersions.put(nodeId, version) ?: 0
        if (version < previousVersion) regressionCount++
    }

    private companion object {
        const val POLL_MS = 1L
        const val NANOS_PER_MILLI = 1_000_000
    }
}
