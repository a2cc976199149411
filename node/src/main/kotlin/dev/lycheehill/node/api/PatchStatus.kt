package dev.lycheehill.node.api

import dev.lycheehill.fleet.InForceReport

/**
 * Response of `GET /v1/status/{patchId}`.
 *
 * @property outcome `accepted`, `refused`, `not-known-yet` or `too-old-to-tell`.
 * @property version configuration version that an accepted patch created; null for the other outcomes.
 * @property reason reason why a patch was refused; null for the other outcomes.
 * @property inForce report on the nodes that serve that version or a later one; null for the other outcomes.
 */
data class PatchStatus(
    val patchId: String,
    val outcome: String,
    val version: Long? = null,
    val reason: String? = null,
    val inForce: InForceReport? = null,
)
