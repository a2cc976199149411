package dev.lycheehill.node

import io.netty.channel.EventLoopGroup

/**
 * What a deployment adds to the edges of a node.
 *
 * @property group event loops that carry everything; null gives the node loops of its own.
 * @property listeners further listeners.
 */
class NodeNetworkOptions(
    val group: EventLoopGroup? = null,
    val listeners: List<ApiListenerConfig> = emptyList(),
)
