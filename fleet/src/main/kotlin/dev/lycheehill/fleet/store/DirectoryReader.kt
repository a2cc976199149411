package dev.lycheehill.fleet.store

import arrow.core.Either
import dev.lycheehill.core.time.Subscription
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.platformlog.Backoff
import dev.lycheehill.platformlog.keyed.CallStreak
import dev.lycheehill.platformlog.keyed.KeyedRecord
import dev.lycheehill.platformlog.keyed.KeyedStore
import dev.lycheehill.platformlog.keyed.KeyedTopic
import dev.lycheehill.platformlog.keyed.NewestPage
import dev.lycheehill.platformlog.keyed.StoreError
import kotlin.random.Random

/** Reads the member records at the store on demand, and rarely besides. One reading is in progress at a time. */
internal class DirectoryReader(
    private val store: KeyedStore,
    private val timers: TimerService,
    private val settings: StoreFleetSettings,
    private val random: Random,
    private val onRecord: (KeyedRecord) -> Unit,
    private val onRead: () -> Unit,
    private val onLink: (StoreError?) -> Unit,
) {
    private val calls = CallStreak(Backoff(random, capMs = settings.maxRetryDelayMs))
    private var reading = false
    private var readAgain = false
    private var stopped = false
    private var next: Subscription? = null

    /** Whether all records have been read once. */
    var isRead = false
        private set

    /** Whether all records have been read more than once. */
    var isReadAgain = false
        private set

    /** Whether the last call failed. */
    val isLost: Boolean get() = calls.isLost

    /** Reads all records now, or once more after the reading in progress. */
    fun read() {
        if (reading) readAgain = true else start()
    }

    /** Ends; a call in progress is ignored. */
    fun stop() {
        stopped = true
    }

    private fun start() {
        reading = true
        readAgain = false
        readPage(after = null)
    }

    private fun readPage(after: String?) {
        store.newest(KeyedTopic.MEMBERS, after) { if (!stopped) received(it) }
    }

    private fun received(result: Either<StoreError, NewestPage>) =
        result.fold(::failed) { page ->
            if (calls.succeeded() > 0) onLink(null)
            page.records.forEach(onRecord)
            if (page.hasMore && page.records.isNotEmpty()) readPage(page.records.last().key) else finished()
        }

    private fun finished() {
        reading = false
        isReadAgain = isRead
        isRead = true
        onRead()
        if (readAgain) {
            start()
            return
        }
        next?.cancel()
        next = timers.after(nextMs()) { if (!stopped && !reading) start() }
    }

    private fun failed(error: StoreError) {
        if (!calls.isLost) onLink(error)
        timers.after(calls.failed()) { if (!stopped) start() }
    }

    // Readings of many nodes are spread over the period.
    private fun nextMs(): Long = settings.directoryPeriodMs / 2 + random.nextLong(settings.directoryPeriodMs)
}
