package dev.lycheehill.fleet.store

import arrow.core.Either
import dev.lycheehill.core.time.Subscription
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.platformlog.Backoff
import dev.lycheehill.platformlog.keyed.CallFailureTracker
import dev.lycheehill.platformlog.keyed.KeyedRecord
import dev.lycheehill.platformlog.keyed.KeyedStore
import dev.lycheehill.platformlog.keyed.KeyedTopic
import dev.lycheehill.platformlog.keyed.NewestPage
import dev.lycheehill.platformlog.keyed.StoreError
import kotlin.random.Random

/** Reads all member records from the store on request and periodically. At most one read is in progress at a time. */
internal class DirectoryReader(
    private val store: KeyedStore,
    private val timers: TimerService,
    private val settings: StoreFleetSettings,
    private val random: Random,
    private val onRecord: (KeyedRecord) -> Unit,
    private val onRead: () -> Unit,
    private val onStoreResult: (StoreError?) -> Unit,
) {
    private val calls = CallFailureTracker(Backoff(random, capMs = settings.maxRetryDelayMs))
    private var isReading = false
    private var isReadRequested = false
    private var isStopped = false
    private var nextRead: Subscription? = null

    /** Whether all records have been read at least once. */
    var hasRead = false
        private set

    /** Whether all records have been read at least twice. */
    var hasReadTwice = false
        private set

    /** Whether the last call to the store failed. */
    val isLost: Boolean get() = calls.isFailing

    /** Starts to read all records, or repeats the read after the one in progress. */
    fun read() {
        if (isReading) isReadRequested = true else start()
    }

    /** Stops reading and ignores the result of a call in progress. */
    fun stop() {
        isStopped = true
    }

    private fun start() {
        isReading = true
        isReadRequested = false
        readPage(after = null)
    }

    private fun readPage(after: String?) {
        store.readNewest(KeyedTopic.MEMBERS, after) { if (!isStopped) onPage(it) }
    }

    private fun onPage(result: Either<StoreError, NewestPage>) =
        result.fold(::onReadFailed) { page ->
            if (calls.recordSuccess() > 0) onStoreResult(null)
            page.records.forEach(onRecord)
            if (page.hasMore && page.records.isNotEmpty()) readPage(page.records.last().key) else onReadCompleted()
        }

    private fun onReadCompleted() {
        isReading = false
        hasReadTwice = hasRead
        hasRead = true
        onRead()
        if (isReadRequested) {
            start()
            return
        }
        nextRead?.cancel()
        nextRead = timers.after(nextReadDelayMs()) { if (!isStopped && !isReading) start() }
    }

    private fun onReadFailed(error: StoreError) {
        if (!calls.isFailing) onStoreResult(error)
        timers.after(calls.recordFailure()) { if (!isStopped) start() }
    }

    // Jitter spreads the reads of many nodes over the period.
    private fun nextReadDelayMs(): Long = settings.directoryPeriodMs / 2 + random.nextLong(settings.directoryPeriodMs)
}
