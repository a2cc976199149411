package dev.lycheehill.node

import dev.lycheehill.node.api.ApiEndpoint
import dev.lycheehill.node.settings.HostPort

/**
 * An additional HTTP listener of a node.
 *
 * @property bindAddress address that the listener binds.
 * @property endpoints endpoints that the listener serves.
 */
class ApiListenerConfig(
    val bindAddress: HostPort,
    val endpoints: List<ApiEndpoint>,
)
