package dev.lycheehill.platformlog.snapshot

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.Streams
import dev.lycheehill.config.snapshot.Snapshot
import dev.lycheehill.config.snapshot.SnapshotAssembler
import dev.lycheehill.config.snapshot.SnapshotRestorer
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.PlatformLog

/** Reads configuration snapshots from the stream `snapshots` of the log. Calls block. */
class SnapshotReader(
    private val log: PlatformLog,
) {
    /** Returns the newest snapshot of which the log retains all parts; null when there is none. */
    fun readNewest(): Either<LogError, Snapshot?> {
        val assembler = SnapshotAssembler()
        var offset = 0L
        while (true) {
            val page = log.read(Streams.SNAPSHOTS, offset, MAX_PAGE_RECORDS).getOrElse { return it.left() }
            page.entries.forEach(assembler::add)
            val next = maxOf(page.firstRetainedOffset, offset + page.entries.size)
            // The second condition ends the loop when the log states that there are more records but returns none.
            if (next >= page.nextOffset || next == offset) return assembler.newest.right()
            offset = next
        }
    }

    /**
     * Returns the fold state of the newest snapshot that extends [current], for a node whose next record the log no longer
     * retains.
     *
     * Returns [current] when the log has no such snapshot.
     */
    fun restore(current: FoldState): Either<LogError, FoldState> =
        readNewest().map { snapshot -> SnapshotRestorer.restoreNewest(current, listOfNotNull(snapshot)) }

    private companion object {
        const val MAX_PAGE_RECORDS = 16
    }
}
