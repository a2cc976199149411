package dev.lycheehill.measure.fleet

/** Fleet under measurement: a fleet of this project or the baseline. */
interface MeasuredFleet : AutoCloseable {
    /** Number of nodes. */
    val size: Int

    /** Registers [listener], which is called with the index of a node and its new version at each change of the version. */
    fun onVersionChange(listener: (node: Int, version: Long) -> Unit)

    /** Returns the control bytes that all nodes have sent and received so far, including their reads of the log. */
    fun controlBytes(): Long

    /** Returns the lowest version that is in force on any node. */
    fun lowestVersion(): Long

    /** Starts the nodes. If the nodes keep member tables, waits until each node knows all others. */
    fun start()
}
