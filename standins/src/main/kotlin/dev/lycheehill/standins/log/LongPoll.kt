package dev.lycheehill.standins.log

import dev.lycheehill.core.time.Subscription
import dev.lycheehill.platformlog.LogPage
import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Long poll for one read request.
 *
 * Completes as soon as records are available, the requested offset is no longer retained, an outage begins or the wait time is over.
 *
 * All methods run on the event loop of the connection and do not block.
 */
internal class LongPoll(
    private val ctx: ChannelHandlerContext,
    private val serverState: LogServerState,
    private val query: ReadQuery,
    private val onOutage: () -> Unit,
    private val onPage: (LogPage) -> Unit,
) {
    private var change: Subscription? = null
    private var timeout: Future<*>? = null
    private var isDone = false

    fun start() {
        // Subscribes before the first check, so that an append between the two is not missed.
        change = serverState.onChange { ctx.executor().execute { checkLog(isFinalCheck = false) } }
        timeout = ctx.executor().schedule({ checkLog(isFinalCheck = true) }, query.waitMs, TimeUnit.MILLISECONDS)
        ctx.channel().closeFuture().addListener { finish() }
        checkLog(isFinalCheck = query.waitMs == 0L)
    }

    private fun checkLog(isFinalCheck: Boolean) {
        if (isDone) return
        if (serverState.faults.outage) return finish().also { onOutage() }
        val page = serverState.store.read(query.stream, query.fromOffset, query.maxRecords)
        val isTruncated = page.firstRetainedOffset > query.fromOffset
        if (isFinalCheck || isTruncated || page.entries.isNotEmpty()) {
            finish()
            onPage(page)
        }
    }

    private fun finish() {
        isDone = true
        change?.cancel()
        timeout?.cancel(false)
    }
}
