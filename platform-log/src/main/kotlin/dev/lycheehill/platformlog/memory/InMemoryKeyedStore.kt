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

/**
 * Keyed topics in the memory of one process, for tests and demonstrations. Used on the thread of [timers].
 *
 * [viewOf] gives each node its own access, so that faults can differ between nodes.
 */
class InMemoryKeyedStore(
    private val timers: TimerService,
    private val responseDelayMs: Long = 4,
    private val pageSize: Int = 500,
) {
    private val topics = KeyedTopic.entries.associateWith { Topic() }

    /** Calls that the store has received, also those that a fault refused. */
    var callCount = 0
        private set

    /** Returns access to the store with the faults of [access]. */
    fun viewOf(access: StoreAccess): KeyedStore = View(access)

    /** Writes a record as the operator does. */
    fun write(
        topic: KeyedTopic,
        key: String,
        value: ByteArray?,
    ): Long = topics.getValue(topic).append(key, value)

    /** Drops all records but the newest of each key. */
    fun compact(topic: KeyedTopic) = topics.getValue(topic).compact()

    /** Newest value of [key], or null. */
    fun valueOf(
        topic: KeyedTopic,
        key: String,
    ): ByteArray? = topics.getValue(topic).newest[key]?.value

    private class Topic {
        val records = ArrayList<KeyedRecord>()
        val newest = sortedMapOf<String, KeyedRecord>()
        val waiting = ArrayList<() -> Unit>()
        var first = 0L
        val end: Long get() = first + records.size

        fun append(
            key: String,
            value: ByteArray?,
        ): Long {
            val record = KeyedRecord(end, key, value)
            records.add(record)
            if (value == null) newest.remove(key) else newest[key] = record
            val woken = waiting.toList()
            waiting.clear()
            woken.forEach { it() }
            return record.offset
        }

        fun compact() {
            first = end
            records.clear()
        }

        fun from(offset: Long): List<KeyedRecord> = records.drop((offset - first).toInt())
    }

    private inner class View(
        private val access: StoreAccess,
    ) : KeyedStore {
        override fun put(
            topic: KeyedTopic,
            key: String,
            value: ByteArray?,
            listener: (Either<StoreError, Long>) -> Unit,
        ) = answer(listener) {
            val offset = topics.getValue(topic).append(key, value)
            if (access.losesWriteResponses) StoreError.Unknown("answer lost").left() else offset.right()
        }

        override fun readNewest(
            topic: KeyedTopic,
            after: String?,
            listener: (Either<StoreError, NewestPage>) -> Unit,
        ) = answer(listener) {
            val state = topics.getValue(topic)
            val rest = state.newest.values.filter { after == null || it.key > after }
            NewestPage(rest.take(pageSize), state.end, rest.size > pageSize).right()
        }

        override fun read(
            topic: KeyedTopic,
            fromOffset: Long,
            waitMs: Long,
            listener: (Either<StoreError, RecordPage>) -> Unit,
        ) {
            val state = topics.getValue(topic)
            if (!access.isRefusing && fromOffset == state.end) {
                callCount++
                waitFor(state, fromOffset, waitMs, listener)
            } else {
                answer(listener) { page(state, fromOffset) }
            }
        }

        private fun waitFor(
            state: Topic,
            fromOffset: Long,
            waitMs: Long,
            listener: (Either<StoreError, RecordPage>) -> Unit,
        ) {
            var done = false
            val silencesBefore = access.unresponsivePeriods
            val finish = {
                if (!done && !access.isUnresponsive && access.unresponsivePeriods == silencesBefore) {
                    done = true
                    listener(page(state, fromOffset))
                }
            }
            state.waiting.add { timers.after(responseDelayMs, finish) }
            timers.after(waitMs, finish)
            timers.after(waitMs + SILENCE_MS) {
                if (!done) {
                    done = true
                    listener(StoreError.Unknown("no answer").left())
                }
            }
        }

        private fun page(
            state: Topic,
            fromOffset: Long,
        ): Either<StoreError, RecordPage> {
            if (fromOffset < state.first) return StoreError.Compacted("first is ${state.first}").left()
            val records = state.from(fromOffset)
            return RecordPage(records, fromOffset + records.size).right()
        }

        private fun <T> answer(
            listener: (Either<StoreError, T>) -> Unit,
            serve: () -> Either<StoreError, T>,
        ) {
            callCount++
            if (access.isUnresponsive) {
                timers.after(SILENCE_MS) { listener(StoreError.Unknown("no answer").left()) }
                return
            }
            timers.after(responseDelayMs) { listener(if (access.isRefusing) StoreError.Refused("store refuses").left() else serve()) }
        }
    }

    private companion object {
        const val SILENCE_MS = 1_200L
    }
}
