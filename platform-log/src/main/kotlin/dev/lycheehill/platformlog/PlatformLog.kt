package dev.lycheehill.platformlog

import arrow.core.Either

/**
 * Client of the append-only log service of the platform. Calls block the calling thread.
 *
 * The offsets of a stream start at 0 and have no gaps. The log retains records for a limited time only.
 */
interface PlatformLog {
    /**
     * Appends [payload] to [stream] and returns the offset of the new record.
     *
     * On failure, [LogError.verdict] tells whether the append may have taken effect.
     */
    fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long>

    /**
     * Reads at most [maxRecords] records of [stream], starting at [fromOffset].
     *
     * When there are no such records yet, the call waits up to [waitMs] milliseconds for the first. When the record at
     * [fromOffset] is no longer retained, the page is empty and [LogPage.firstRetainedOffset] is greater than [fromOffset].
     */
    fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int = 256,
        waitMs: Long = 0,
    ): Either<LogError, LogPage>
}
