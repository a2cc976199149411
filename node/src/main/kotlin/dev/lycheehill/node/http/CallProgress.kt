package dev.lycheehill.node.http

/**
 * Progress of a call that is being handled.
 *
 * @property isPassedOn whether the request was sent to a target.
 * @property targetIds node ids of the targets that were chosen, in order.
 * @property leftMs time until the deadline in milliseconds; not positive if the deadline has passed.
 */
internal data class CallProgress(
    val isPassedOn: Boolean,
    val targetIds: List<String>,
    val leftMs: Long,
)
