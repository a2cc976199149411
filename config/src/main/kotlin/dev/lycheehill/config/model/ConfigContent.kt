package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/** The whole configuration of one version. Each service that a route names is in [services]. */
@Serializable
data class ConfigContent(
    val services: Map<String, Service> = emptyMap(),
    val routes: Map<String, Route> = emptyMap(),
)
