package dev.lycheehill.standins.log

import dev.lycheehill.core.time.Subscription
import dev.lycheehill.platformlog.memory.AppendLimiter
import dev.lycheehill.platformlog.memory.LogFaults
import dev.lycheehill.platformlog.memory.LogStore
import java.util.concurrent.CopyOnWriteArraySet

/** Records and fault switches that the connections of one [LogStandIn] share. Thread-safe. */
internal class LogServerState(
    val store: LogStore,
) {
    private val limiter = AppendLimiter()
    private val waiting = CopyOnWriteArraySet<() -> Unit>()

    @Volatile
    var faults: LogFaults = LogFaults()
        set(value) {
            field = value
            store.retain(value.retainRecords)
            waiting.forEach { it() }
        }

    /** Takes an append token; returns the wait for the next one in milliseconds, 0 when the append is permitted. */
    fun tryAppend(nowMs: Long): Long = limiter.tryAcquire(faults.maxAppendsPerS, nowMs)

    /** Calls [listener] after each append and each change of the faults. */
    fun onChange(listener: () -> Unit): Subscription {
        waiting += listener
        val appends = store.onAppend(listener)
        return Subscription {
            waiting -= listener
            appends.cancel()
        }
    }
}
