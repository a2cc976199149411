package dev.lycheehill.standins.backend

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.concurrent.Future

/** One request at a [BackendStandIn]. */
internal class BackendCall(
    val ctx: ChannelHandlerContext,
    val path: String,
    val headers: HttpHeaders,
    val bodyBytes: Int,
    val keepAlive: Boolean,
) {
    val key: String = headers.get(BackendHeaders.REQUEST_KEY) ?: headers.get("idempotency-key") ?: path
    val isLong: Boolean get() = headers.get(BackendHeaders.COST) == "long"
    val crashes: Boolean get() = headers.get(BackendHeaders.MARK) == "crash"
    val responseBytes: Int? get() = headers.get(BackendHeaders.RESPONSE_BYTES)?.toIntOrNull()
    val status: Int get() = headers.get(BackendHeaders.STATUS)?.toIntOrNull() ?: 200
    val deadlineMs: Long? = headers.get("lycheehill-deadline-ms")?.toLongOrNull()
    val arrivedNanos: Long = System.nanoTime()
    var state = State.WAITING
    var timer: Future<*>? = null

    /** Time left in nanoseconds, or null without a deadline. */
    fun remainingNanos(): Long? = deadlineMs?.let { it * NANOS_PER_MILLI - (System.nanoTime() - arrivedNanos) }

    enum class State { WAITING, RUNNING, DONE }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
    }
}
