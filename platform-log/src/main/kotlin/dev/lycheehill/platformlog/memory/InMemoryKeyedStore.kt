package dev.lycheehill.platformlog.memory

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.platformlog.keyed.KeyedRecord
import dev.lycheehill.platformlog.keyed.KeyedStore
import dev.lycheehill.platformlog.keyed.KeyedTopic
import dev.lycheehill.platformlog.keyed.NewestPage
import dev.lycheehill.platformlog.keyed.RecordPage
import dev.lycheehill.platformlog.keyed.StoreError
import dev.lycheehill.platformlog.keyed.WriteReceipt

/**
 * Store of keyed topics in memory, for tests and demonstrations. Confined to the thread of [timers].
 *
 * Each node uses a client of its own, returned by [newClient], so that faults can differ between nodes.
 *
 * @param responseDelayMs time between a call and its response, in milliseconds.
 * @param pageSize maximum number of records of a page of [KeyedStore.readNewest].
 */
class InMemoryKeyedStore(
    private val timers: TimerService,
    private val responseDelayMs: Long = 4,
    private val pageSize: Int = 500,
) {
    private val topics = KeyedTopic.entries.associateWith { Topic() }

    /** Number of calls to the store so far, including those that a fault made fail. */
    var callCount = 0
        private set

    /** Returns a client of the store whose calls fail as [access] says. */
    fun newClient(access: StoreAccess): KeyedStore = Client(access)

    /** Writes a record at once, without delay or faults, and returns its offset. */
    fun write(
        topic: KeyedTopic,
        key: String,
        value: ByteArray?,
    ): Long = topics.getValue(topic).append(key, value)

    /** Drops the history of [topic]; only [KeyedStore.readNewest] still returns the newest record of each key. */
    fun compact(topic: KeyedTopic) = topics.getValue(topic).compact()

    /** Epoch of the store; rises with each [restore]. */
    var epoch = 1L
        private set

    /** Returns a copy of all topics, from which the store can be restored later. */
    fun copy(): Copy = Copy(topics.mapValues { it.value.snapshot() })

    /**
     * Replaces all topics by [copy], so that later records are lost and their offsets are assigned again. Reads that are waiting
     * continue at their offset.
     */
    fun restore(copy: Copy) {
        epoch++
        topics.forEach { (topic, state) -> state.restore(copy.topics.getValue(topic)) }
    }

    /** Copy of the content of a store. */
    class Copy internal constructor(
        internal val topics: Map<KeyedTopic, TopicSnapshot>,
    )

    /** Returns the newest value of [key]; null when there is none. */
    fun valueOf(
        topic: KeyedTopic,
        key: String,
    ): ByteArray? = topics.getValue(topic).newest[key]?.value

    private class Topic {
        val records = ArrayList<KeyedRecord>()
        val newest = sortedMapOf<String, KeyedRecord>()
        val waitingReads = ArrayList<() -> Unit>()
        var firstOffset = 0L
        val endOffset: Long get() = firstOffset + records.size

        fun append(
            key: String,
            value: ByteArray?,
        ): Long {
            val record = KeyedRecord(endOffset, key, value)
            records.add(record)
            if (value == null) newest.remove(key) else newest[key] = record
            val wokenReads = waitingReads.toList()
            waitingReads.clear()
            wokenReads.forEach { it() }
            return record.offset
        }

        fun compact() {
            firstOffset = endOffset
            records.clear()
        }

        fun snapshot() = TopicSnapshot(firstOffset, records.toList(), newest.toMap())

        fun restore(snapshot: TopicSnapshot) {
            firstOffset = snapshot.firstOffset
            records.clear()
            records.addAll(snapshot.records)
            newest.clear()
            newest.putAll(snapshot.newest)
        }

        fun recordsFrom(offset: Long): List<KeyedRecord> = records.drop((offset - firstOffset).toInt())
    }

    private inner class Client(
        private val access: StoreAccess,
    ) : KeyedStore {
        override fun put(
            topic: KeyedTopic,
            key: String,
            value: ByteArray?,
            listener: (Either<StoreError, WriteReceipt>) -> Unit,
        ) = respond(listener) {
            val offset = topics.getValue(topic).append(key, value)
            if (access.losesWriteResponses) StoreError.Unknown("response lost").left() else WriteReceipt(offset, epoch).right()
        }

        override fun readNewest(
            topic: KeyedTopic,
            after: String?,
            listener: (Either<StoreError, NewestPage>) -> Unit,
        ) = respond(listener) {
            val state = topics.getValue(topic)
            val remaining = state.newest.values.filter { after == null || it.key > after }
            NewestPage(remaining.take(pageSize), state.endOffset, remaining.size > pageSize, epoch).right()
        }

        override fun read(
            topic: KeyedTopic,
            fromOffset: Long,
            waitMs: Long,
            listener: (Either<StoreError, RecordPage>) -> Unit,
        ) {
            val state = topics.getValue(topic)
            if (!access.isRefusing && fromOffset == state.endOffset) {
                callCount++
                waitForRecords(state, fromOffset, waitMs, listener)
            } else {
                respond(listener) { page(state, fromOffset) }
            }
        }

        private fun waitForRecords(
            state: Topic,
            fromOffset: Long,
            waitMs: Long,
            listener: (Either<StoreError, RecordPage>) -> Unit,
        ) {
            var isDone = false
            // A read that was waiting when the store became unresponsive gets no response, not even after the recovery.
            val unresponsivePeriodsBefore = access.unresponsivePeriods
            val finish = {
                if (!isDone && !access.isUnresponsive && access.unresponsivePeriods == unresponsivePeriodsBefore) {
                    isDone = true
                    listener(page(state, fromOffset))
                }
            }
            state.waitingReads.add { timers.after(responseDelayMs + access.additionalDelayMs, finish) }
            timers.after(waitMs, finish)
            timers.after(waitMs + RESPONSE_TIMEOUT_MS) {
                if (!isDone) {
                    isDone = true
                    listener(StoreError.Unknown("no response").left())
                }
            }
        }

        private fun page(
            state: Topic,
            fromOffset: Long,
        ): Either<StoreError, RecordPage> {
            if (fromOffset !in
                state.firstOffset..state.endOffset
            ) {
                return StoreError.Compacted("first retained offset is ${state.firstOffset}").left()
            }
            val records = state.recordsFrom(fromOffset)
            return RecordPage(records, fromOffset + records.size, epoch).right()
        }

        private fun <T> respond(
            listener: (Either<StoreError, T>) -> Unit,
            serve: () -> Either<StoreError, T>,
        ) {
            callCount++
            if (access.isUnresponsive) {
                timers.after(RESPONSE_TIMEOUT_MS) { listener(StoreError.Unknown("no response").left()) }
                return
            }
            timers.after(responseDelayMs + access.additionalDelayMs) {
                listener(if (access.isRefusing) StoreError.Refused("store refuses").left() else serve())
            }
        }
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 1_200L
    }
}
