package dev.lycheehill.fleet.store

import dev.lycheehill.core.time.TimerService

/**
 * Network between nodes in memory that can isolate single nodes, for tests and emulations. The address of a node is its id and a port.
 *
 * Confined to the thread of [timers].
 *
 * @param delayMs time that a message takes, in milliseconds.
 */
class InMemoryPeerNetwork(
    private val timers: TimerService,
    private val delayMs: Long = 1,
) {
    private val channels = HashMap<String, Channel>()
    private val isolatedNodeIds = HashSet<String>()

    /** Returns a new channel of the node [nodeId], which replaces its earlier channel. */
    fun newChannel(nodeId: String): PeerChannel = Channel(nodeId).also { channels[nodeId] = it }

    /** Drops all messages from and to the node [nodeId]. */
    fun isolate(nodeId: String) {
        isolatedNodeIds.add(nodeId)
    }

    /** Delivers the messages from and to the node [nodeId] again. */
    fun heal(nodeId: String) {
        isolatedNodeIds.remove(nodeId)
    }

    private inner class Channel(
        private val nodeId: String,
    ) : PeerChannel {
        override var onHeartbeat: (PeerHeartbeat) -> Unit = {}
        override var onRequest: (SyncRequest) -> SyncReply = { SyncReply(0, null, emptyList()) }

        override fun send(
            addresses: List<String>,
            heartbeat: PeerHeartbeat,
        ) = addresses.map(::nodeIdAt).forEach { receiver ->
            timers.after(delayMs) { if (isOpen(receiver)) channels[receiver]?.onHeartbeat?.invoke(heartbeat) }
        }

        override fun ask(
            address: String,
            request: SyncRequest,
            listener: (SyncReply?) -> Unit,
        ) {
            val receiver = nodeIdAt(address)
            timers.after(delayMs) {
                val reply = if (isOpen(receiver)) channels[receiver]?.onRequest?.invoke(request) else null
                timers.after(delayMs) { listener(reply) }
            }
        }

        private fun isOpen(receiver: String) = nodeId !in isolatedNodeIds && receiver !in isolatedNodeIds

        private fun nodeIdAt(address: String) = address.substringBefore(':')
    }
}
