package dev.lycheehill.node.api

import dev.lycheehill.fleet.InForceReport

/**
 * Answer of `GET /v1/version`. [version] and [hash] are the base of a new patch.
 *
 * @property nextOffset offset of the first record of stream `config` that the node has not folded.
 * @property stoppedReason reason why the node follows the log no further, or null.
 */
data class VersionReport(
    val version: Long,
    val hash: String,
    val nextOffset: Long,
    val stoppedReason: String?,
    val inForce: InForceReport,
)
