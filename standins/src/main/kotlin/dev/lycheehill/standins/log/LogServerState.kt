package dev.lycheehill.standins.log

import dev.lycheehill.core.time.Subscription
import dev.lycheehill.platformlog.memory.AppendLimiter
import dev.lycheehill.platformlog.memory.LogFaults
import dev.lycheehill.platformlog.memory.LogStore
import java.util.concurrent.CopyOnWriteArraySet

/** State that the connections of one [LogStandIn] share: the records, the injected faults and the rate limit. Thread-safe. */
internal class LogServerState(
    val store: LogStore,
) {
    private val limiter = AppendLimiter()
    private val listeners = CopyOnWriteArraySet<() -> Unit>()

    @Volatile
    var faults: LogFaults = LogFaults()
        set(value) {
            field = value
            store.retain(value.retainRecords)
            listeners.forEach { it() }
        }

    /** Tries to acquire a token for an append. Returns 0 on success, otherwise the time until the next token, in milliseconds. */
    fun tryAcquireAppendToken(nowMs: Long): Long = limiter.tryAcquire(faults.maxAppendsPerS, nowMs)

    /** Calls [listener] after each append and each change of the injected faults, until the subscription is cancelled. */
    fun onChange(listener: () -> Unit): Subscription {
        listeners += listener
        val appends = store.onAppend(listener)
        return Subscription {
            listeners -= listener
            appends.cancel()
        }
    }
}
