package dev.lycheehill.fleet

import arrow.core.Either
import arrow.core.left
import dev.lycheehill.core.Verdict
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog

/** [PlatformLog] of one node that can be disconnected from the shared [log]. */
class DisconnectableLog(
    private val log: PlatformLog,
    var isDisconnected: Boolean = false,
) : PlatformLog {
    override fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> = if (isDisconnected) unreachable.left() else log.append(stream, payload)

    override fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<LogError, LogPage> = if (isDisconnected) unreachable.left() else log.read(stream, fromOffset, maxRecords, waitMs)

    private val unreachable = LogError(LogError.Kind.UNAVAILABLE, Verdict.NOT_RUN, "unreachable")
}
