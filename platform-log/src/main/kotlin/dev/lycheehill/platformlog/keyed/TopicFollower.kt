package dev.lycheehill.platformlog.keyed

import arrow.core.Either
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.platformlog.Backoff
import kotlin.random.Random

/**
 * Follows one topic of the store: delivers the newest record of each key, then every later record.
 *
 * The position of the follower is valid in one epoch of the store. When the store is restored from an older copy, [reload] must be called.
 *
 * A record may be delivered twice, and after a compaction or a restore records come in order of keys instead of offsets. Therefore
 * [onRecord] must decide by the content of a record which one is newer. The class is confined to the thread on which the
 * store's client calls its listeners and [timers] runs its tasks.
 *
 * @param role returns the role of this node in reading the topic; called before each read.
 * @param onRecord called with each record.
 * @param onAvailabilityChange called with the error when calls to the store start to fail, and with null when a call
 *   succeeds again.
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
    private val failureTracker = CallFailureTracker(Backoff(random, settings.initialBackoffMs, settings.maxBackoffMs))
    private var nextOffset = 0L
    private var stopped = false

    // Rises whenever the follower abandons its call or timer in progress, whose result is then ignored.
    private var generation = 0
    private var readStartedAtMs: Long? = null
    private var lastReadRestartAtMs = timers.nowMs() - settings.minReadRestartIntervalMs
    private var isListening = false
    private var isProbing = false

    // Whether the next read must not wait at the store, because its response may show that the store was restored.
    private var isImmediateReadDue = false

    /** Whether the newest record of each key has been read once. */
    var isCaughtUp = false
        private set

    /** Whether the last call to the store failed. */
    val isFailing: Boolean get() = failureTracker.isFailing

    /** Starts following the topic. */
    fun start() = reload()

    /** Stops following the topic. The result of a call in progress is ignored. */
    fun stop() {
        stopped = true
    }

    /** Reads the newest record of each key again, because the position is no longer valid. A listener has no position and does nothing. */
    fun reload() {
        if (stopped || isListening) return
        abandon()
        loadNewest(after = null, endOffset = null)
    }

    /**
     * Restarts a read that began more than [agoMs] milliseconds ago; called when another node reports that the store
     * recovered at that time. The store may never respond to a read that began while it was unresponsive.
     */
    fun onStoreRecovered(agoMs: Long) {
        val now = timers.nowMs()
        val startedAtMs = readStartedAtMs ?: return
        if (stopped || startedAtMs >= now - agoMs || now - lastReadRestartAtMs < settings.minReadRestartIntervalMs) return
        lastReadRestartAtMs = now
        restartRead()
    }

    /** Restarts a read that is waiting at the store; called when another node reports that the store was restored. */
    fun onRestoreReported() {
        if (stopped) return
        if (readStartedAtMs == null) isImmediateReadDue = true else restartRead()
    }

    /** Restarts a read that waits at the store if this node has become the prober since it began. Must be called periodically. */
    fun checkRole() {
        if (stopped || readStartedAtMs == null || isProbing) return
        if (role() == ReaderRole.PROBER) restartRead()
    }

    private fun restartRead() {
        isImmediateReadDue = true
        startRead()
    }

    private fun abandon() {
        generation++
        readStartedAtMs = null
    }

    private fun loadNewest(
        after: String?,
        endOffset: Long?,
    ) {
        val expected = generation
        store.readNewest(topic, after) { result ->
            if (generation == expected) {
                handleResult(result, { loadNewest(after, endOffset) }) { page -> onNewestPage(page, endOffset ?: page.endOffset) }
            }
        }
    }

    // Successive pages are not a consistent snapshot. Records written in the meantime follow the end offset of the first
    // page, so reading continues there.
    private fun onNewestPage(
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
        readNext()
    }

    private fun readNext() {
        if (role() == ReaderRole.LISTENER && !isFailing) listen() else startRead()
    }

    // A listener that becomes a reader loads only the newest records, because it got the earlier ones from other nodes.
    private fun listen() {
        isListening = true
        schedule(settings.roleCheckPeriodMs) {
            isListening = role() == ReaderRole.LISTENER
            if (isListening) listen() else reload()
        }
    }

    private fun startRead() {
        abandon()
        val expected = generation
        readStartedAtMs = timers.nowMs()
        isProbing = role() == ReaderRole.PROBER
        store.read(topic, nextOffset, readWaitMs()) { result ->
            if (generation == expected) {
                readStartedAtMs = null
                handleResult(result, ::readNext, ::onRecordPage)
            }
        }
    }

    // Without a wait, a store that has recovered responds at once. The random wait of readers spreads the ends of the reads
    // of many nodes.
    private fun readWaitMs(): Long =
        when {
            isFailing || isImmediateReadDue -> 0
            isProbing -> settings.probeReadWaitMs
            else -> random.nextLong(settings.maxReadWaitMs / 2, settings.maxReadWaitMs)
        }

    private fun onRecordPage(page: RecordPage) {
        isImmediateReadDue = false
        nextOffset = page.nextOffset
        page.records.forEach(onRecord)
        if (page.records.isEmpty()) {
            readNext()
            return
        }
        // Records that are written in quick succession are read together, to save calls.
        schedule(settings.readDelayMs, ::readNext)
    }

    private fun <T> handleResult(
        result: Either<StoreError, T>,
        retry: () -> Unit,
        onSuccess: (T) -> Unit,
    ) {
        if (stopped) return
        result.fold({ onFailure(it, retry) }) {
            if (failureTracker.recordSuccess() > 0) onAvailabilityChange(null)
            onSuccess(it)
        }
    }

    private fun onFailure(
        error: StoreError,
        retry: () -> Unit,
    ) {
        if (error is StoreError.Compacted) {
            reload()
            return
        }
        if (!failureTracker.isFailing) onAvailabilityChange(error)
        schedule(failureTracker.recordFailure(), retry)
    }

    private fun schedule(
        delayMs: Long,
        task: () -> Unit,
    ) {
        val expected = generation
        timers.after(delayMs) { if (!stopped && generation == expected) task() }
    }
}
