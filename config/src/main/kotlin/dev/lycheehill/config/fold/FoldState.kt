package dev.lycheehill.config.fold

import dev.lycheehill.config.home.DomainHomes
import dev.lycheehill.config.log.ChainHash
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.ContentHash
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Result of folding the records of stream `config` below [nextOffset].
 *
 * @property version current version; 0 before the first accepted patch.
 * @property contentHash SHA-256 of [content] in hex digits; a patch names it as the hash of its base.
 * @property chainHash hash over all folded records in hex digits.
 * @property history patch id by version for the most recent versions; the empty string for a version without a patch.
 * @property refusals reason by patch id, for recently refused patches.
 * @property fences patch ids that are refused while the version stays the same.
 * @property homes current home epoch by key domain.
 * @property malformedRecords number of folded records that were no valid record.
 * @property stoppedReason reason why the fold follows the log no further, or null.
 */
data class FoldState(
    val version: Long = 0,
    val content: ConfigContent = ConfigContent(),
    val contentHash: String,
    val nextOffset: Long = 0,
    val chainHash: String,
    val history: PersistentMap<Long, String> = persistentMapOf(),
    val refusals: PersistentMap<String, String> = persistentMapOf(),
    val fences: PersistentSet<String> = persistentSetOf(),
    val homes: PersistentMap<String, DomainHomes> = persistentMapOf(),
    val malformedRecords: Long = 0,
    val stoppedReason: String? = null,
) {
    companion object {
        /** State before the first record of the log. */
        fun initial(): FoldState = FoldState(contentHash = ContentHash.of(ConfigContent()), chainHash = ChainHash.EMPTY)
    }
}
