package dev.lycheehill.platformlog

import arrow.core.Either

/**
 * The platform's append-only log service. Calls block, so they run on a thread that may wait.
 *
 * Offsets start at 0 in each stream and have no gaps. Old records are dropped after a limited time.
 */
interface PlatformLog {
    /** Appends [payload] and returns its offset. [LogError.verdict] tells whether a failed append may have taken effect. */
    fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long>

    /**
     * Reads at most [maxRecords] records from [fromOffset] on. If there are none yet, waits up to [waitMs] milliseconds.
     *
     * When [fromOffset] is no longer retained, the page is empty and [LogPage.firstRetainedOffset] lies above it.
     */
    fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int = 256,
        waitMs: Long = 0,
    ): Either<LogError, LogPage>
}
