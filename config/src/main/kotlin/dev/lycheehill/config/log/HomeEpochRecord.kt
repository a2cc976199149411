package dev.lycheehill.config.log

import dev.lycheehill.config.home.HomeAssignment
import kotlinx.serialization.Serializable

/**
 * Proposal for the next home epoch of one key domain.
 *
 * The proposal is accepted only if [previousEpoch] is the current epoch of the domain. Of several proposals for one epoch,
 * the first in the log is therefore accepted.
 *
 * The record belongs to stream `config` rather than to a stream of its own, so that it reaches every node through the same
 * dissemination, hash chain and snapshots as the patches.
 *
 * @property domain name of the key domain.
 * @property previousEpoch epoch that the proposed epoch follows; 0 for a domain without homes.
 * @property members proposed homes of the domain's keys, with their weights.
 * @property reset whether an operator states that all members of earlier epochs have stopped.
 */
@Serializable
data class HomeEpochRecord(
    val format: Int = RecordCodec.FORMAT,
    val kind: String = RecordCodec.KIND_HOME_EPOCH,
    val domain: String,
    val previousEpoch: Long,
    val members: List<HomeAssignment>,
    val reset: Boolean = false,
) : ConfigRecord
