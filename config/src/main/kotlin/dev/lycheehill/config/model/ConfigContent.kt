package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/**
 * Complete configuration of one version. Each service that a route names is in [services].
 *
 * @property services services by name.
 * @property routes routes by name.
 */
@Serializable
data class ConfigContent(
    val services: Map<String, Service> = emptyMap(),
    val routes: Map<String, Route> = emptyMap(),
)
