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

/** Reads stream `snapshots` of the log. Calls block. */
class SnapshotReader(
    private val log: PlatformLog,
) {
    /** Returns the newest whole snapshot that the log retains; null when there is none. */
    fun readNewest(): Either<LogError, Snapshot?> {
        val assembler = SnapshotAssembler()
        var offset = 0L
        while (true) {
            val page = log.read(Streams.SNAPSHOTS, offset, PAGE_RECORDS).getOrElse { return it.left() }
            page.entries.forEach(assembler::add)
            val next = maxOf(page.firstRetainedOffset, offset + page.entries.size)
            // A log that announces records and returns none must not keep the reader in the loop.
            if (next >= page.nextOffset || next == offset) return assembler.newest.right()
            offset = next
        }
    }

    /**
     * Returns the state to continue with for a node with [current] whose next record is no longer retained.
     *
     * The result is [current] itself when the log holds no snapshot that extends it.
     */
    fun restore(current: FoldState): Either<LogError, FoldState> =
        readNewest().map { snapshot -> SnapshotRestorer.restoreNewest(current, listOfNotNull(snapshot)) }

    private companion object {
        const val PAGE_RECORDS = 16
    }
}
