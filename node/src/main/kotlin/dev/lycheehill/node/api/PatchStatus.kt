package dev.lycheehill.node.api

import dev.lycheehill.fleet.InForceReport

/**
 * Answer of `GET /v1/status/{patchId}`.
 *
 * @property outcome `accepted`, `refused`, `not-known-yet` or `too-old-to-tell`.
 * @property version version that an accepted patch made.
 * @property reason why a refused patch was not run.
 */
data class PatchStatus(
    val patchId: String,
    val outcome: String,
    val version: Long? = null,
    val reason: String? = null,
    val inForce: InForceReport? = null,
)
