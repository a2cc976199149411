package dev.lycheehill.node

import io.netty.channel.EventLoopGroup

/**
 * Event loops and additional listeners of a node that depend on the deployment.
 *
 * @property group event loops for all traffic of the node; null if the node creates its own.
 * @property listeners additional listeners.
 */
class NodeNetworkOptions(
    val group: EventLoopGroup? = null,
    val listeners: List<ApiListenerConfig> = emptyList(),
)
