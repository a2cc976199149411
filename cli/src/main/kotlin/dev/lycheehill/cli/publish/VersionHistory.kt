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
 * History of the versions that the platform's log still retains.
 *
 * @property state state after the last record of the log.
 * @property contentByVersion content of each version.
 */
class VersionHistory private constructor(
    val state: FoldState,
    val contentByVersion: Map<Long, ConfigContent>,
) {
    companion object {
        /**
         * Reads the history from [log] by folding all records. Starts from the newest snapshot if the first records are no longer
         * retained.
         */
        fun read(log: PlatformLog): Either<LogError, VersionHistory> =
            when (val first = log.read(Streams.CONFIG, 0, maxRecords = 1)) {
                is Either.Left -> first
                is Either.Right -> fold(log, if (first.value.firstRetainedOffset == 0L) FoldState.initial() else restoreFromSnapshots(log))
            }

        private fun fold(
            log: PlatformLog,
            start: FoldState,
        ): Either<LogError, VersionHistory> {
            var state = start
            val contentByVersion = mutableMapOf(start.version to start.content)
            val failure =
                forEachEntry(log, Streams.CONFIG, start.nextOffset) { entry ->
                    state = ConfigFold.apply(state, entry)
                    contentByVersion[state.version] = state.content
                }
            return failure?.left() ?: VersionHistory(state, contentByVersion).right()
        }

        private fun restoreFromSnapshots(log: PlatformLog): FoldState {
            val assembler = SnapshotAssembler()
            val snapshots = mutableListOf<Snapshot>()
            val firstOffset = log.read(Streams.SNAPSHOTS, 0, maxRecords = 1).getOrNull()?.firstRetainedOffset ?: 0
            forEachEntry(log, Streams.SNAPSHOTS, firstOffset) { entry -> assembler.add(entry)?.let { snapshots += it } }
            return SnapshotRestorer.restoreNewest(FoldState.initial(), snapshots)
        }

        private fun forEachEntry(
            log: PlatformLog,
            stream: String,
            fromOffset: Long,
            action: (LogEntry) -> Unit,
        ): LogError? {
            var nextOffset = fromOffset
            while (true) {
                val page = log.read(stream, nextOffset).fold({ return it }, { it })
                if (page.entries.isEmpty()) return null
                page.entries.forEach(action)
                nextOffset = page.entries.last().offset + 1
            }
        }
    }
}
