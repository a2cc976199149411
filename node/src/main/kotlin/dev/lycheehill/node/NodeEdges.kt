package dev.lycheehill.node

import io.netty.channel.EventLoopGroup
import java.net.InetAddress

/**
 * What a deployment adds to the edges of a node.
 *
 * @property group event loops that carry everything; null gives the node loops of its own.
 * @property listeners further listeners.
 * @property backendAddress address from which the backend server beside the node calls; null when it cannot be told from
 *   other callers.
 */
class NodeEdges(
    val group: EventLoopGroup? = null,
    val listeners: List<NodeListener> = emptyList(),
    val backendAddress: InetAddress? = null,
)
