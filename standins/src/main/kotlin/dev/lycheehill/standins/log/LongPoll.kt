package dev.lycheehill.standins.log

import dev.lycheehill.core.time.Subscription
import dev.lycheehill.platformlog.LogPage
import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Answers one read as soon as there are records, the log has an outage, or the wait is over. All methods run on the event
 * loop of the connection, so nothing blocks.
 */
internal class LongPoll(
    private val ctx: ChannelHandlerContext,
    private val service: LogServerState,
    private val query: ReadQuery,
    private val onOutage: () -> Unit,
    private val onPage: (LogPage) -> Unit,
) {
    private var change: Subscription? = null
    private var timeout: Future<*>? = null
    private var isDone = false

    fun start() {
        // The subscription comes before the first look, so an append between the two is not missed.
        change = service.onChange { ctx.executor().execute { look(isLast = false) } }
        timeout = ctx.executor().schedule({ look(isLast = true) }, query.waitMs, TimeUnit.MILLISECONDS)
        ctx.channel().closeFuture().addListener { finish() }
        look(isLast = query.waitMs == 0L)
    }

    private fun look(isLast: Boolean) {
        if (isDone) return
        if (service.faults.outage) return finish().also { onOutage() }
        val page = service.store.read(query.stream, query.from, query.max)
        val isLost = page.firstRetainedOffset > query.from
        if (isLast || isLost || page.entries.isNotEmpty()) {
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
