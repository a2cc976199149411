package dev.lycheehill.platformlog.memory

import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.core.time.Subscription
import dev.lycheehill.platformlog.LogPage

/** Streams of records in memory. Thread-safe; no call blocks. */
class LogStore {
    private val streams = HashMap<String, Stream>()
    private val listeners = LinkedHashSet<() -> Unit>()

    /** Appends [payload] to [stream], drops all but the newest [retainRecords] records and returns the new offset. */
    fun append(
        stream: String,
        payload: ByteArray,
        retainRecords: Int? = null,
    ): Long {
        val (offset, interested) =
            synchronized(this) {
                val target = streamOf(stream)
                target.records.addLast(payload.clone())
                target.retain(retainRecords)
                target.next - 1 to listeners.toList()
            }
        interested.forEach { it() }
        return offset
    }

    /** Drops all but the newest [retainRecords] records of each stream. */
    @Synchronized
    fun retain(retainRecords: Int?) = streams.values.forEach { it.retain(retainRecords) }

    /** Returns at most [maxRecords] records from [fromOffset] on, and at most [MAX_PAGE_BYTES] bytes after the first. */
    @Synchronized
    fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
    ): LogPage {
        val source = streamOf(stream)
        return LogPage(source.page(fromOffset, maxRecords), source.first, source.next)
    }

    /** Calls [listener] after each append, on the appending thread. */
    @Synchronized
    fun onAppend(listener: () -> Unit): Subscription {
        listeners += listener
        return Subscription { synchronized(this) { listeners -= listener } }
    }

    private fun streamOf(name: String): Stream = streams.getOrPut(name) { Stream() }

    private class Stream {
        val records = ArrayDeque<ByteArray>()
        var first = 0L
        val next: Long get() = first + records.size

        fun retain(retainRecords: Int?) {
            while (retainRecords != null && records.size > retainRecords) {
                records.removeFirst()
                first++
            }
        }

        fun page(
            fromOffset: Long,
            maxRecords: Int,
        ): List<LogEntry> {
            if (fromOffset < first || fromOffset >= next) return emptyList()
            val start = (fromOffset - first).toInt()
            val end = minOf(records.size.toLong(), start + maxRecords.toLong()).toInt()
            val entries = mutableListOf<LogEntry>()
            var sizeBytes = 0
            for (index in start until end) {
                sizeBytes += records[index].size
                if (entries.isNotEmpty() && sizeBytes > MAX_PAGE_BYTES) break
                entries += LogEntry(first + index, records[index])
            }
            return entries
        }
    }

    companion object {
        /** Bound on the payload bytes of one page. */
        const val MAX_PAGE_BYTES: Int = 4 * 1024 * 1024
    }
}
