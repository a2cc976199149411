package dev.lycheehill.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.core.Verdict
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog

/** In-memory [PlatformLog] that can be unavailable and whose streams can be truncated and changed. */
class FakeLog : PlatformLog {
    var isDown = false
    private val streams = HashMap<String, MutableList<ByteArray>>()
    private val firstRetained = HashMap<String, Int>()

    fun size(stream: String): Int = streams[stream]?.size ?: 0

    fun replaceLast(
        stream: String,
        payload: ByteArray,
    ) {
        streams.getValue(stream)[size(stream) - 1] = payload
    }

    fun truncate(
        stream: String,
        size: Int,
    ) {
        streams[stream] = streams.getValue(stream).take(size).toMutableList()
    }

    fun dropBefore(
        stream: String,
        offset: Int,
    ) {
        firstRetained[stream] = offset
    }

    override fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        if (isDown) return unavailable(Verdict.NOT_RUN)
        val records = streams.getOrPut(stream) { mutableListOf() }
        records += payload
        return (records.size - 1L).right()
    }

    override fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<LogError, LogPage> {
        if (isDown) return unavailable(Verdict.NOT_RUN)
        val records = streams[stream].orEmpty()
        val first = firstRetained[stream] ?: 0
        val from = fromOffset.toInt()
        val entries =
            if (from <
                first
            ) {
                emptyList()
            } else {
                (from until records.size).take(maxRecords).map { LogEntry(it.toLong(), records[it]) }
            }
        return LogPage(entries, first.toLong(), records.size.toLong()).right()
    }

    private fun unavailable(verdict: Verdict) = LogError(LogError.Kind.UNAVAILABLE, verdict, "log is down").left()
}
