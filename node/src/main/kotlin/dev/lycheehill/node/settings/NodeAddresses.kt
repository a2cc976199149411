package dev.lycheehill.node.settings

/**
 * Addresses on which a node listens.
 *
 * @property egress HTTP, for callers on the same instance.
 * @property ingress HTTP, for calls from other nodes to the target.
 * @property control messages between nodes.
 * @property localApi HTTP, for the target and for operators.
 */
data class NodeAddresses(
    val egress: HostPort = HostPort.ANY_LOOPBACK,
    val ingress: HostPort = HostPort.ANY_LOOPBACK,
    val control: HostPort = HostPort.ANY_LOOPBACK,
    val localApi: HostPort = HostPort.ANY_LOOPBACK,
)
