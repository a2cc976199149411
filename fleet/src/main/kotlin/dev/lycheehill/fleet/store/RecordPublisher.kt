package dev.lycheehill.fleet.store

import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.platformlog.Backoff
import dev.lycheehill.platformlog.keyed.CallFailureTracker
import dev.lycheehill.platformlog.keyed.KeyedStore
import dev.lycheehill.platformlog.keyed.KeyedTopic
import dev.lycheehill.platformlog.keyed.StoreEpoch
import dev.lycheehill.platformlog.keyed.StoreError
import kotlin.random.Random

/**
 * Writes the newest record of this node to the store and retries until the store acknowledges the write.
 *
 * The store may lose an acknowledged record when it is restored from an older copy; [mayBeLost] and [isLost] tell when to
 * publish again.
 *
 * At most one write is in progress. A write without an answer may still take effect later, which is harmless because readers
 * keep the record with the higher incarnation.
 */
internal class RecordPublisher(
    private val store: KeyedStore,
    private val timers: TimerService,
    private val settings: StoreFleetSettings,
    random: Random,
    private val onChange: (StoreFleetEvent) -> Unit,
) {
    private val calls = CallFailureTracker(Backoff(random, capMs = settings.maxRetryDelayMs))
    private var pendingRecord: MemberRecord? = null
    private var isWriting = false
    private var listener: () -> Unit = {}
    private var acknowledged: MemberRecord? = null
    private var acknowledgedEpoch = StoreEpoch.UNKNOWN
    private var acknowledgedAtMs = 0L

    /** Whether the store may have lost the record of this node when it started [epoch], which has just been noticed. */
    fun mayBeLost(epoch: Long): Boolean =
        acknowledged != null && acknowledgedEpoch < epoch && timers.nowMs() - acknowledgedAtMs <= settings.maxCopyAgeMs

    /** Whether the store has lost the acknowledged record of this node, given that the node has read [stored] there; null if nothing. */
    fun isLost(stored: MemberRecord?): Boolean {
        val expected = acknowledged ?: return false
        return !isWriting && (stored == null || stored.incarnation < expected.incarnation)
    }

    /**
     * Writes [record] in place of an older record that is still waiting to be written.
     *
     * [onWritten] is called after the next write that succeeded or may have taken effect.
     */
    fun publish(
        record: MemberRecord,
        onWritten: () -> Unit = {},
    ) {
        pendingRecord = record
        listener = onWritten
        if (!isWriting) write(record)
    }

    private fun write(record: MemberRecord) {
        isWriting = true
        store.put(KeyedTopic.MEMBERS, record.nodeId, MemberCodec.encode(record)) { result ->
            result.fold(::onWriteFailed) { onWriteSucceeded(record, it.epoch) }
        }
    }

    private fun onWriteSucceeded(
        record: MemberRecord,
        epoch: Long,
    ) {
        val failures = calls.recordSuccess()
        if (failures > 0) onChange(StoreFleetEvent.RecordWritten(record.incarnation, failures))
        isWriting = false
        acknowledged = record
        acknowledgedEpoch = epoch
        acknowledgedAtMs = timers.nowMs()
        notifyListener()
        val newer = pendingRecord
        if (newer == record) pendingRecord = null else newer?.let(::write)
    }

    private fun notifyListener() {
        listener()
        listener = {}
    }

    private fun onWriteFailed(error: StoreError) {
        if (!calls.isFailing) onChange(StoreFleetEvent.RecordNotWritten(error.reason))
        // The write may have taken effect although no answer arrived.
        if (error is StoreError.Unknown) notifyListener()
        timers.after(calls.recordFailure()) { pendingRecord?.let(::write) }
    }
}
