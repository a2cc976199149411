package dev.lycheehill.standins.log

import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.http.HttpLogSettings
import dev.lycheehill.platformlog.http.HttpPlatformLog
import dev.lycheehill.platformlog.memory.InMemoryPlatformLog
import dev.lycheehill.platformlog.memory.LogFaults

/** Implementation of [PlatformLog] under test, with a function that injects faults. Calls time out after [CALL_TIMEOUT_MS]. */
class LogUnderTest(
    private val name: String,
    val log: PlatformLog,
    val setFaults: (LogFaults) -> Unit,
    private val onClose: () -> Unit,
) : AutoCloseable {
    override fun close() = onClose()

    override fun toString(): String = name

    companion object {
        const val CALL_TIMEOUT_MS = 300L

        fun inMemory(): LogUnderTest {
            val timers = SystemTimerService()
            val log = InMemoryPlatformLog(timers, callTimeoutMs = CALL_TIMEOUT_MS)
            return LogUnderTest("in memory", log, { log.faults = it }, timers::close)
        }

        fun http(): LogUnderTest {
            val standIn = LogStandIn().start()
            val log = HttpPlatformLog(HttpLogSettings(standIn.baseUri, requestTimeoutMs = CALL_TIMEOUT_MS))
            return LogUnderTest("over HTTP", log, { standIn.faults = it }, standIn::close)
        }
    }
}
