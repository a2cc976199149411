package dev.lycheehill.node.api

import dev.lycheehill.config.model.Service

/**
 * One entry of the response of `GET /v1/show/services`.
 *
 * @property members number of members that belong to the service.
 */
data class ServiceView(
    val service: Service,
    val members: Int,
)
