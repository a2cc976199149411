package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/**
 * Settings of one service.
 *
 * @property name unique name of the service.
 * @property timeoutMs time limit of a call, in milliseconds.
 * @property maxInFlightPerTarget most calls in flight at one target.
 * @property maxQueue most calls that wait in the queue of a target.
 * @property hedgePercent most hedged calls, in percent of the calls of the service.
 * @property healthPath path of the health check of an instance; null when instances have no health check.
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
