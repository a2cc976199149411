package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/**
 * Expected duration of the calls of a route.
 *
 * Slots are reserved for [SHORT] calls. The class of [LEARNED] calls is derived from the durations of earlier calls.
 */
@Serializable
enum class CostClass { SHORT, LONG, LEARNED }
