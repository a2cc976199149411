package dev.lycheehill.node.api

import dev.lycheehill.fleet.InForceReport

/**
 * Response of `GET /v1/version`. A new patch states [version] and [hash] as its base.
 *
 * @property version configuration version in force on the node.
 * @property hash hash of the content of that version.
 * @property nextOffset offset of the first record of stream `config` that the node has not applied.
 * @property stoppedReason reason why the node no longer follows the log; null while it does.
 * @property inForce report on the nodes that serve the version or a later one.
 */
data class VersionReport(
    val version: Long,
    val hash: String,
    val nextOffset: Long,
    val stoppedReason: String?,
    val inForce: InForceReport,
)
