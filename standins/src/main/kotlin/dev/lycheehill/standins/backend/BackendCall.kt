package dev.lycheehill.standins.backend

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.concurrent.Future

/** One request that a [BackendStandIn] received. */
internal class BackendCall(
    val ctx: ChannelHandlerContext,
    val path: String,
    val headers: HttpHeaders,
    val bodyBytes: Int,
    val keepAlive: Boolean,
) {
    val key: String = headers.get(BackendHeaders.REQUEST_KEY) ?: headers.get("idempotency-key") ?: path
    val isLong: Boolean get() = headers.get(BackendHeaders.COST) == "long"
    val isCrashRequest: Boolean get() = headers.get(BackendHeaders.FAULT) == "crash"
    val responseBytes: Int? get() = headers.get(BackendHeaders.RESPONSE_BYTES)?.toIntOrNull()
    val status: Int get() = headers.get(BackendHeaders.STATUS)?.toIntOrNull() ?: 200
    val deadlineMs: Long? = headers.get("lycheehill-deadline-ms")?.toLongOrNull()
    val arrivedNanos: Long = System.nanoTime()
    var state = State.WAITING
    var timer: Future<*>? = null

    /** Returns the time until the deadline in nanoseconds, or null if the request has no deadline. */
    fun remainingNanos(): Long? = deadlineMs?.let { it * NANOS_PER_MILLI - (System.nanoTime() - arrivedNanos) }

    enum class State { WAITING, RUNNING, DONE }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
    }
}
