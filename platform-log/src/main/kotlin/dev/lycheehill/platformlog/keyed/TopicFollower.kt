package dev.lycheehill.platformlog.keyed

import arrow.core.Either
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.platformlog.Backoff
import kotlin.random.Random

/**
 * Follows one topic: takes the newest record of each key, then every later record.
 *
 * Records may be delivered twice and, after a compaction, in order of keys, so [onRecord] decides by the content. Used on
 * the thread of the store's client and of [timers], which are the same.
 *
 * @param role this node's part in reading, asked before each read.
 * @param onAvailabilityChange told when the store is lost or regained, with the reason.
 */
class TopicFollower(
    private val store: KeyedStore,
    private val topic: KeyedTopic,
    private val timers: TimerService,
    private val settings: FollowerSettings,
    private val random: Random,
    private val role: () -> ReaderRole = { ReaderRole.READER },
    private val onRecord: (KeyedRecord) -> Unit,
    private val onAvailabilityChange: (StoreError?) -> Unit,
) {
    private val calls = CallFailureTracker(Backoff(random, settings.initialBackoffMs, settings.maxBackoffMs))
    private var nextOffset = 0L
    private var stopped = false

    // The read that is in progress: its number, and when it began.
    private var readNumber = 0
    private var readBegunAtMs: Long? = null
    private var readAgainAtMs = timers.nowMs() - settings.minReadRestartIntervalMs

    /** Whether the newest records have been read once. */
    var isCaughtUp = false
        private set

    /** Whether the last call failed. */
    val isFailing: Boolean get() = calls.isFailing

    /** Whether new records have just been read, so that those that follow are read soon. */
    var isReadDelayed = false
        private set

    /** Starts to follow. */
    fun start() = loadNewest(after = null, endOffset = null)

    /** Ends following; a call in progress is ignored. */
    fun stop() {
        stopped = true
    }

    /**
     * Another node has found a silent store again [agoMs] ago. A read that began before that may never be answered, so it
     * is given up for a new one.
     */
    fun onStoreRecovered(agoMs: Long) {
        val now = timers.nowMs()
        val begunAtMs = readBegunAtMs ?: return
        if (stopped || begunAtMs >= now - agoMs || now - readAgainAtMs < settings.minReadRestartIntervalMs) return
        readAgainAtMs = now
        read()
    }

    private fun loadNewest(
        after: String?,
        endOffset: Long?,
    ) {
        store.readNewest(topic, after) { result ->
            received(result, { loadNewest(after, endOffset) }) { page -> newestRead(page, endOffset ?: page.endOffset) }
        }
    }

    // Pages are not a snapshot, so reading continues from the end at the first page.
    private fun newestRead(
        page: NewestPage,
        endOffset: Long,
    ) {
        page.records.forEach(onRecord)
        if (page.hasMore && page.records.isNotEmpty()) {
            loadNewest(page.records.last().key, endOffset)
            return
        }
        isCaughtUp = true
        nextOffset = endOffset
        read()
    }

    private fun read() {
        isReadDelayed = false
        if (role() == ReaderRole.LISTENER && !isFailing) listen() else readOn()
    }

    // Reads the newest records only, as a listener has taken the ones between from other nodes.
    private fun listen(): Unit =
        later(settings.roleCheckPeriodMs) { if (role() == ReaderRole.LISTENER) listen() else loadNewest(after = null, endOffset = null) }

    private fun readOn() {
        val number = ++readNumber
        readBegunAtMs = timers.nowMs()
        store.read(topic, nextOffset, waitMs()) { result ->
            if (number == readNumber) {
                readBegunAtMs = null
                received(result, ::read, ::recordsRead)
            }
        }
    }

    // A store that was lost answers at once when it is back. Other reads of many nodes end at different times.
    private fun waitMs(): Long =
        when {
            isFailing -> 0
            role() == ReaderRole.PROBER -> settings.probeReadWaitMs
            else -> random.nextLong(settings.maxReadWaitMs / 2, settings.maxReadWaitMs)
        }

    private fun recordsRead(page: RecordPage) {
        nextOffset = page.nextOffset
        page.records.forEach(onRecord)
        // Records that come in quick succession are read together.
        if (page.records.isEmpty()) {
            read()
            return
        }
        isReadDelayed = true
        later(settings.readDelayMs, ::read)
    }

    private fun <T> received(
        result: Either<StoreError, T>,
        again: () -> Unit,
        use: (T) -> Unit,
    ) {
        if (stopped) return
        result.fold({ failed(it, again) }) {
            if (calls.recordSuccess() > 0) onAvailabilityChange(null)
            use(it)
        }
    }

    private fun failed(
        error: StoreError,
        again: () -> Unit,
    ) {
        if (error is StoreError.Compacted) {
            loadNewest(after = null, endOffset = null)
            return
        }
        if (!calls.isFailing) onAvailabilityChange(error)
        later(calls.recordFailure(), again)
    }

    private fun later(
        delayMs: Long,
        task: () -> Unit,
    ) {
        timers.after(delayMs) { if (!stopped) task() }
    }
}
