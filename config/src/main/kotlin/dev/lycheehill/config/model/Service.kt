package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/** Settings of one service. Times are in milliseconds. */
@Serializable
data class Service(
    val name: String,
    val timeoutMs: Int = 2_000,
    val maxInFlightPerTarget: Int = 10,
    val maxQueue: Int = 40,
    val hedgePercent: Int = 5,
)
