package dev.lycheehill.fleet.store

import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.platformlog.Backoff
import dev.lycheehill.platformlog.keyed.CallStreak
import dev.lycheehill.platformlog.keyed.KeyedStore
import dev.lycheehill.platformlog.keyed.KeyedTopic
import dev.lycheehill.platformlog.keyed.StoreError
import kotlin.random.Random

/**
 * Writes the newest record of this node to the store until the store has acknowledged it.
 *
 * One write is in progress at a time. A write without an answer may still take effect later; readers keep the record with
 * the higher incarnation, so the order does not matter.
 */
internal class RecordPublisher(
    private val store: KeyedStore,
    private val timers: TimerService,
    private val settings: StoreFleetSettings,
    random: Random,
    private val onChange: (StoreFleetEvent) -> Unit,
) {
    private val calls = CallStreak(Backoff(random, capMs = settings.maxRetryDelayMs))
    private var wanted: MemberRecord? = null
    private var writing = false
    private var listener: () -> Unit = {}

    /** Writes [record] and forgets an older one that is not written yet. [onWritten] is called after the next write that may have been done. */
    fun publish(
        record: MemberRecord,
        onWritten: () -> Unit = {},
    ) {
        wanted = record
        listener = onWritten
        if (!writing) write(record)
    }

    private fun write(record: MemberRecord) {
        writing = true
        store.put(KeyedTopic.MEMBERS, record.nodeId, MemberCodec.encode(record)) { result ->
            result.fold(::failed) { written(record) }
        }
    }

    private fun written(record: MemberRecord) {
        val failures = calls.succeeded()
        if (failures > 0) onChange(StoreFleetEvent.RecordWritten(record.incarnation, failures))
        writing = false
        told()
        val newer = wanted
        if (newer == record) wanted = null else newer?.let(::write)
    }

    private fun told() {
        listener()
        listener = {}
    }

    private fun failed(error: StoreError) {
        if (!calls.isLost) onChange(StoreFleetEvent.RecordNotWritten(error.reason))
        // The write may have been done although its answer is lost.
        if (error is StoreError.Unknown) told()
        timers.after(calls.failed()) { wanted?.let(::write) }
    }
}
