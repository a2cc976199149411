package dev.lycheehill.measure.fleet

/** Fleet under measurement: ours or the baseline. */
interface MeasuredFleet : AutoCloseable {
    /** Number of nodes. */
    val size: Int

    /** Calls [listener] with the index of a node and its version on each change. */
    fun onVersionChange(listener: (node: Int, version: Long) -> Unit)

    /** Control bytes sent and received by all nodes so far, with their share of the log's traffic. */
    fun controlBytes(): Long

    /** Lowest version in force on any node. */
    fun lowestVersion(): Long

    /** Starts the nodes and waits until they know each other. */
    fun start()
}
