package dev.lycheehill.measure.fleet

import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.Streams
import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.fleet.link.KtorLink
import dev.lycheehill.fleet.link.LinkSettings
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireRecord
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/**
 * Baseline fleet: every node polls the log once per second, at a random offset. The log is one server on a loopback socket
 * that uses the frames of the peer protocol, so that its requests are smaller than HTTP requests would be.
 */
class PollingFleet(
    override val size: Int,
    private val log: LongPollingLog,
    private val random: Random,
) : MeasuredFleet {
    private val timers = SystemTimerService("measure-poll")
    private val dispatcher = Dispatchers.IO.limitedParallelism(IO_THREADS)
    private val selector = SelectorManager(dispatcher)
    private val server = KtorLink.bind("127.0.0.1", 0, LINK_SETTINGS, selector, dispatcher)
    private val listeners = CopyOnWriteArrayList<(Int, Long) -> Unit>()
    private val nodes = List(size, ::Node)

    override fun onVersionChange(listener: (Int, Long) -> Unit) {
        listeners += listener
    }

    override fun controlBytes(): Long =
        nodes.sumOf {
            it.link.counters.bytesSent
                .get() +
                it.link.counters.bytesReceived
                    .get()
        }

    override fun lowestVersion(): Long = nodes.minOf { it.state.version }

    override fun start() {
        server.start { from, message -> if (message is PeerMessage.RecordsRequest) server.send(from, page(message.fromOffset)) }
        nodes.forEach { it.start() }
    }

    /** Discards the state of the nodes with [indexes], as a restart does. */
    fun restart(indexes: List<Int>) = indexes.forEach { nodes[it].state = FoldState.initial() }

    /** Returns the lowest version on the nodes with [indexes]. */
    fun lowestVersion(indexes: List<Int>): Long = indexes.minOf { nodes[it].state.version }

    override fun close() {
        nodes.forEach { it.link.close() }
        server.close()
        selector.close()
        timers.close()
    }

    private fun page(fromOffset: Long): PeerMessage.Records {
        val entries = log.read(Streams.CONFIG, fromOffset, PAGE_RECORDS, waitMs = 0).fold({ emptyList() }, { it.entries })
        return PeerMessage.Records(entries.map { WireRecord(it.offset, it.payload, "") })
    }

    private inner class Node(
        private val index: Int,
    ) {
        val link = KtorLink.bind("127.0.0.1", 0, LINK_SETTINGS, selector, dispatcher)

        @Volatile
        var state: FoldState = FoldState.initial()

        fun start() {
            link.start { _, message -> if (message is PeerMessage.Records) onRecords(message) }
            timers.after(random.nextLong(POLL_PERIOD_MS)) {
                poll(server.address)
                timers.every(POLL_PERIOD_MS) { poll(server.address) }
            }
        }

        private fun poll(log: PeerAddress) {
            link.send(log, PeerMessage.RecordsRequest(state.nextOffset, 0))
        }

        @Synchronized
        private fun onRecords(message: PeerMessage.Records) {
            val before = state
            message.records.forEach { state = ConfigFold.apply(state, LogEntry(it.offset, it.payload)) }
            if (state !== before) listeners.forEach { it(index, state.version) }
        }
    }

    private companion object {
        const val POLL_PERIOD_MS = 1_000L
        const val PAGE_RECORDS = 256
        const val IO_THREADS = 16
        val LINK_SETTINGS = LinkSettings(maxConnections = 2_000)
    }
}
