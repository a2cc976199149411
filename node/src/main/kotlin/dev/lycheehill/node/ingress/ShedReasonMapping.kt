package dev.lycheehill.node.ingress

import dev.lycheehill.calls.admission.RejectReason
import dev.lycheehill.node.metrics.ShedReason

/** Returns the metric label for a rejection by the admission control. */
internal fun RejectReason.toShedReason(): ShedReason =
    when (this) {
        RejectReason.QUEUE_FULL -> ShedReason.QUEUE_FULL
        RejectReason.QUEUE_TIME -> ShedReason.QUEUE_AGE
        RejectReason.RATE_LIMIT -> ShedReason.RATE_LIMIT
        RejectReason.DEADLINE -> ShedReason.DEADLINE
        RejectReason.DRAINING -> ShedReason.DRAINING
    }
