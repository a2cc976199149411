package dev.lycheehill.node.api

import dev.lycheehill.config.model.Service

/** One entry of `GET /v1/show/services`. */
data class ServiceView(
    val service: Service,
    val members: Int,
)
