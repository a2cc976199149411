package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/** Priority of the calls of a route. Under overload, calls of lower priority are shed before calls of higher priority. */
@Serializable
enum class Priority { HIGH, NORMAL, LOW }
