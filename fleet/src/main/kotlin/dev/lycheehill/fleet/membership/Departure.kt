package dev.lycheehill.fleet.membership

import kotlinx.serialization.Serializable

/**
 * Process instance of a backend server that has announced its shutdown.
 *
 * The departure is stored with the record of the node, so that it survives a restart of the node.
 *
 * @property instanceId id that the instance reported.
 * @property bornMs wall-clock start time of the instance in milliseconds since the Unix epoch; 0 when the instance reported none.
 */
@Serializable
data class Departure(
    val instanceId: String,
    val bornMs: Long = 0,
) {
    /**
     * Returns whether the instance [instanceId], started at [bornMs] (0 when unknown), is the departed instance.
     *
     * An id may be reused, so an instance that started later than the departed one is a different instance.
     */
    fun covers(
        instanceId: String,
        bornMs: Long,
    ): Boolean = instanceId == this.instanceId && (bornMs == 0L || bornMs <= this.bornMs)
}
