package dev.lycheehill.platformlog.memory

import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.core.time.Subscription
import dev.lycheehill.platformlog.LogPage

/** Streams of records in memory. Thread-safe; calls do not wait for records. */
class LogStore {
    private val streams = HashMap<String, Stream>()
    private val listeners = LinkedHashSet<() -> Unit>()

    /**
     * Appends a copy of [payload] to [stream] and returns the offset of the new record. Then drops all but the newest
     * [retainRecords] records of the stream; null means that all are retained.
     */
    fun append(
        stream: String,
        payload: ByteArray,
        retainRecords: Int? = null,
    ): Long {
        val (offset, listenersToCall) =
            synchronized(this) {
                val target = streamOf(stream)
                target.records.addLast(payload.clone())
                target.retain(retainRecords)
                target.nextOffset - 1 to listeners.toList()
            }
        listenersToCall.forEach { it() }
        return offset
    }

    /** Drops all but the newest [retainRecords] records of each stream; null drops none. */
    @Synchronized
    fun retain(retainRecords: Int?) = streams.values.forEach { it.retain(retainRecords) }

    /**
     * Returns the records of [stream] that start at [fromOffset]: at most [maxRecords] records with at most
     * [MAX_PAGE_BYTES] payload bytes in all. The first record is returned whatever its size is.
     */
    @Synchronized
    fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
    ): LogPage {
        val source = streamOf(stream)
        return LogPage(source.page(fromOffset, maxRecords), source.firstRetainedOffset, source.nextOffset)
    }

    /** Registers [listener], which is called after each append on the thread of the append. */
    @Synchronized
    fun onAppend(listener: () -> Unit): Subscription {
        listeners += listener
        return Subscription { synchronized(this) { listeners -= listener } }
    }

    private fun streamOf(name: String): Stream = streams.getOrPut(name) { Stream() }

    private class Stream {
        val records = ArrayDeque<ByteArray>()
        var firstRetainedOffset = 0L
        val nextOffset: Long get() = firstRetainedOffset + records.size

        fun retain(retainRecords: Int?) {
            while (retainRecords != null && records.size > retainRecords) {
                records.removeFirst()
                firstRetainedOffset++
            }
        }

        fun page(
            fromOffset: Long,
            maxRecords: Int,
        ): List<LogEntry> {
            if (fromOffset < firstRetainedOffset || fromOffset >= nextOffset) return emptyList()
            val start = (fromOffset - firstRetainedOffset).toInt()
            val end = minOf(records.size.toLong(), start + maxRecords.toLong()).toInt()
            val entries = mutableListOf<LogEntry>()
            var sizeBytes = 0
            for (index in start until end) {
                sizeBytes += records[index].size
                if (entries.isNotEmpty() && sizeBytes > MAX_PAGE_BYTES) break
                entries += LogEntry(firstRetainedOffset + index, records[index])
            }
            return entries
        }
    }

    companion object {
        /** Maximum number of payload bytes of a page of several records. */
        const val MAX_PAGE_BYTES: Int = 4 * 1024 * 1024
    }
}
