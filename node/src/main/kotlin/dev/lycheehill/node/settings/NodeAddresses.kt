package dev.lycheehill.node.settings

/**
 * Addresses that the listeners of a node bind.
 *
 * @property egress HTTP address for callers on the same instance.
 * @property ingress HTTP address for calls from other nodes to the target.
 * @property control address for messages between nodes.
 * @property localApi HTTP address of the local API, for the target and for operators.
 */
data class NodeAddresses(
    val egress: HostPort = HostPort.LOOPBACK_FREE_PORT,
    val ingress: HostPort = HostPort.LOOPBACK_FREE_PORT,
    val control: HostPort = HostPort.LOOPBACK_FREE_PORT,
    val localApi: HostPort = HostPort.LOOPBACK_FREE_PORT,
)
