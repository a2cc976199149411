package dev.lycheehill.fleet

import arrow.core.Either
import arrow.core.left
import dev.lycheehill.core.Verdict
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog

/** The way of one node to the log, which can be cut. */
class DisconnectableLog(
    private val log: PlatformLog,
    var cut: Boolean = false,
) : PlatformLog {
    override fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> = if (cut) unreachable.left() else log.append(stream, payload)

    override fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<LogError, LogPage> = if (cut) unreachable.left() else log.read(stream, fromOffset, maxRecords, waitMs)

    private val unreachable = LogError(LogError.Kind.UNAVAILABLE, Verdict.NOT_RUN, "unreachable")
}
