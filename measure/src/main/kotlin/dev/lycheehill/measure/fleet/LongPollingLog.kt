package dev.lycheehill.measure.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.core.Verdict
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** In-memory log with long polling. Counts the reads and the bytes read. */
class LongPollingLog : PlatformLog {
    /** Number of completed reads. */
    val readCount = AtomicLong()

    /** Payload bytes read, plus [READ_OVERHEAD_BYTES] for the HTTP headers of each read. */
    val readBytes = AtomicLong()

    /** Whether the log is down, so that each append and read fails. */
    @Volatile
    var isDown = false

    private val lock = ReentrantLock()
    private val appended = lock.newCondition()
    private val streams = HashMap<String, ArrayList<ByteArray>>()

    override fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        if (isDown) return unavailable()
        return lock.withLock {
            val records = streams.getOrPut(stream, ::ArrayList)
            records += payload
            appended.signalAll()
            (records.size - 1L).right()
        }
    }

    override fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<LogError, LogPage> {
        if (isDown) return unavailable()
        val page = lock.withLock { awaitPage(stream, fromOffset, maxRecords, waitMs) }
        readCount.incrementAndGet()
        readBytes.addAndGet(READ_OVERHEAD_BYTES + page.entries.sumOf { it.payload.size.toLong() })
        return page.right()
    }

    private fun awaitPage(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): LogPage {
        var remainingNanos = waitMs * NANOS_PER_MILLI
        while (remainingNanos > 0 && size(stream) <= fromOffset) remainingNanos = appended.awaitNanos(remainingNanos)
        val records = streams[stream].orEmpty()
        val last = minOf(records.size.toLong(), fromOffset + maxRecords)
        return LogPage((fromOffset until last).map { LogEntry(it, records[it.toInt()]) }, 0, records.size.toLong())
    }

    private fun size(stream: String): Int = streams[stream]?.size ?: 0

    private fun unavailable() = LogError(LogError.Kind.UNAVAILABLE, Verdict.NOT_RUN, "log is down").left()

    companion object {
        /** Approximate size of the headers of one HTTP request and its response. */
        const val READ_OVERHEAD_BYTES = 300L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
