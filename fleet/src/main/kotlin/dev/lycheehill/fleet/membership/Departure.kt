package dev.lycheehill.fleet.membership

import kotlinx.serialization.Serializable

/**
 * A start of a backend server that has said that it leaves. It is kept with its node's record, so that the node still knows
 * it after a restart.
 *
 * @property instanceId name of that start.
 * @property bornMs wall time of that start in milliseconds; 0 when it did not say.
 */
@Serializable
data class Departure(
    val instanceId: String,
    val bornMs: Long = 0,
) {
    /** Whether the start named [instanceId] of [bornMs], 0 when it does not say, is this one. A name may be used again later. */
    fun covers(
        instanceId: String,
        bornMs: Long,
    ): Boolean = instanceId == this.instanceId && (bornMs == 0L || bornMs <= this.bornMs)
}
