package dev.lycheehill.cli.publish

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.Streams
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotAssembler
import dev.lycheehill.config.snapshot.SnapshotRestorer
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.PlatformLog

/**
 * Versions that the log still holds.
 *
 * @property state state at the end of the log.
 * @property contents content by version.
 */
class VersionHistory private constructor(
    val state: FoldState,
    val contents: Map<Long, ConfigContent>,
) {
    companion object {
        /** Folds all records of [log]. Begins at a snapshot when the first records are no longer retained. */
        fun read(log: PlatformLog): Either<LogError, VersionHistory> =
            when (val first = log.read(Streams.CONFIG, 0, maxRecords = 1)) {
                is Either.Left -> first
                is Either.Right -> fold(log, if (first.value.firstRetainedOffset == 0L) FoldState.initial() else fromSnapshots(log))
            }

        private fun fold(
            log: PlatformLog,
            start: FoldState,
        ): Either<LogError, VersionHistory> {
            var state = start
            val contents = mutableMapOf(start.version to start.content)
            val failure =
                forEachEntry(log, Streams.CONFIG, start.nextOffset) { entry ->
                    state = ConfigFold.apply(state, entry)
                    contents[state.version] = state.content
                }
            return failure?.left() ?: VersionHistory(state, contents).right()
        }

        private fun fromSnapshots(log: PlatformLog): FoldState {
            val assembler = SnapshotAssembler()
            val whole = mutableListOf<Snapshot>()
            val begin = log.read(Streams.SNAPSHOTS, 0, maxRecords = 1).getOrNull()?.firstRetainedOffset ?: 0
            forEachEntry(log, Streams.SNAPSHOTS, begin) { entry -> assembler.add(entry)?.let { whole += it } }
            return SnapshotRestorer.restoreNewest(FoldState.initial(), whole)
        }

        private fun forEachEntry(
            log: PlatformLog,
            stream: String,
            fromOffset: Long,
            action: (LogEntry) -> Unit,
        ): LogError? {
            var next = fromOffset
            while (true) {
                val page = log.read(stream, next).fold({ return it }, { it })
                if (page.entries.isEmpty()) return null
                page.entries.forEach(action)
                next = page.entries.last().offset + 1
            }
        }
    }
}
