package dev.lycheehill.config.snapshot

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.home.DomainHomes
import dev.lycheehill.config.model.ConfigContent
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable

/**
 * Serialized form of a [Snapshot].
 *
 * Entries are sorted, except for refusals and fences: refusals keep the order in which the fold evicts them, fences the order of
 * the fold. Two writers therefore produce equal bytes from equal states.
 *
 * @property homes current home epochs by the name of their key domain.
 */
@Serializable
internal class SnapshotBody(
    val version: Long,
    val content: ConfigContent,
    val contentHash: String,
    val nextOffset: Long,
    val chainHash: String,
    val history: Map<Long, String>,
    val refusals: Map<String, String>,
    val fences: List<String>,
    val malformedRecords: Long,
    val homes: Map<String, DomainHomes>,
) {
    // FoldState.stoppedReason is not written: the writer may have stopped at a record of a format that it does not know, and a
    // reader that knows the format must go on.
    fun toSnapshot(): Snapshot =
        Snapshot(
            state =
                FoldState(
                    version = version,
                    content = content,
                    contentHash = contentHash,
                    nextOffset = nextOffset,
                    chainHash = chainHash,
                    history = history.toPersistentMap(),
                    refusals = refusals.toPersistentMap(),
                    fences = fences.toPersistentSet(),
                    homes = homes.toPersistentMap(),
                    malformedRecords = malformedRecords,
                ),
        )

    companion object {
        fun of(snapshot: Snapshot): SnapshotBody =
            with(snapshot.state) {
                SnapshotBody(
                    version = version,
                    content = content.sorted(),
                    contentHash = contentHash,
                    nextOffset = nextOffset,
                    chainHash = chainHash,
                    history = history.toSortedMap(),
                    refusals = refusals,
                    fences = fences.toList(),
                    malformedRecords = malformedRecords,
                    homes = homes.toSortedMap(),
                )
            }

        private fun ConfigContent.sorted(): ConfigContent =
            ConfigContent(
                services = services.toSortedMap(),
                routes =
                    routes.toSortedMap().mapValues { (_, route) ->
                        route.copy(methods = route.methods.toSortedSet(), weights = route.weights.toSortedMap())
                    },
            )
    }
}
