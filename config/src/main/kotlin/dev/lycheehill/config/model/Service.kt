package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/**
 * Settings of one service. Times are in milliseconds.
 *
 * @property healthPath path at which an instance tells whether it is healthy; null when it does not.
 */
@Serializable
data class Service(
    val name: String,
    val timeoutMs: Int = 2_000,
    val maxInFlightPerTarget: Int = 10,
    val maxQueue: Int = 40,
    val hedgePercent: Int = 5,
    val healthPath: String? = null,
)
