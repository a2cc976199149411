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
 * State after folding the records of stream `config` below [nextOffset].
 *
 * @property version current version of the configuration; 0 before the first accepted patch.
 * @property content configuration of the current version.
 * @property contentHash SHA-256 of [content] in hex digits. A patch against this version states it as its base hash.
 * @property nextOffset offset of the next record to fold.
 * @property chainHash hash over all folded records in hex digits.
 * @property history patch id by version, for the most recent versions. The id is empty for a version that no patch made.
 * @property refusals reason by patch id, for the most recently refused patches.
 * @property fences ids of the patches against the current version that are refused if they follow in the log.
 * @property homes current home epoch by key domain.
 * @property malformedRecords number of folded log entries that were not valid records.
 * @property stoppedReason reason why the fold stopped before the record at [nextOffset]; null while it has not stopped.
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
        /** Returns the state before the first record of the log. */
        fun initial(): FoldState = FoldState(contentHash = ContentHash.of(ConfigContent()), chainHash = ChainHash.EMPTY)
    }
}
