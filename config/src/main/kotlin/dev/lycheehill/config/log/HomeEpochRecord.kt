package dev.lycheehill.config.log

import dev.lycheehill.config.home.HomeAssignment
import kotlinx.serialization.Serializable

/**
 * Proposes the next home epoch of one key domain. Accepted only if [previousEpoch] is the current epoch, so the order of
 * the log decides between proposals.
 *
 * The record is in stream `config` and not in one of its own, so that it reaches every node through the same
 * dissemination, hash chain and snapshots as the patches.
 *
 * @property members targets that are homes of the domain's keys, with their weights.
 * @property reset set by an operator who states that all members of earlier epochs have stopped.
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
