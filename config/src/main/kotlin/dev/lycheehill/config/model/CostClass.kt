package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/** Expected duration class of the calls of a route. Slots are reserved for [SHORT] calls. */
@Serializable
enum class CostClass { SHORT, LONG, LEARNED }
