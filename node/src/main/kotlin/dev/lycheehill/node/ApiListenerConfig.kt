package dev.lycheehill.node

import dev.lycheehill.node.api.ApiEndpoint
import dev.lycheehill.node.settings.HostPort

/** A further listener of a node with its endpoints. */
class ApiListenerConfig(
    val bindAddress: HostPort,
    val endpoints: List<ApiEndpoint>,
)
