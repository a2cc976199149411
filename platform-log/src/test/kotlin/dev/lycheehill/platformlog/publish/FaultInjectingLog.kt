package dev.lycheehill.platformlog.publish

import arrow.core.Either
import arrow.core.left
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.core.Verdict
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.memory.InMemoryPlatformLog
import dev.lycheehill.platformlog.memory.LogFaults
import kotlin.random.Random

/**
 * Log that injects random faults into calls, among them crashes of the publisher and appends that take effect late.
 *
 * @param faultPercent percentage of calls that get a random fault while [faultPhase] is null.
 */
class FaultInjectingLog(
    private val simulation: Simulation,
    private val random: Random,
    private val faultPercent: Int,
) : PlatformLog {
    private val log = InMemoryPlatformLog(simulation.timers, simulation, CALL_TIMEOUT_MS)
    val store get() = log.store

    /** Kind of fault that all appends currently have; null when each append draws its own. While the kind is odd, reads fail, too. */
    var faultPhase: Int? = null

    /** Draws the kind of fault of the next phase, or no phase. */
    fun drawPhase() {
        faultPhase = random.nextInt(2 * FAULT_KINDS).takeIf { it < FAULT_KINDS }
    }

    override fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        simulation.sleep(random.nextLong(MAX_LATENCY_MS))
        return when (faultPhase ?: random.nextInt(FAULT_KINDS).takeIf { random.nextInt(100) < faultPercent }) {
            null -> append(LogFaults(), stream, payload)
            0 -> append(LogFaults(outage = true), stream, payload)
            1 -> append(LogFaults(maxAppendsPerS = 0), stream, payload)
            2 -> append(LogFaults(loseResponses = true), stream, payload)
            3 -> append(LogFaults(delayMs = random.nextLong(40_000)), stream, payload)
            4 -> LogError(LogError.Kind.TIMEOUT, Verdict.MAY_HAVE_RUN, "append lost before it took effect").left()
            5 -> throw PublisherCrash()
            else -> {
                simulation.timers.after(random.nextLong(20_000)) { store.append(stream, payload) }
                throw PublisherCrash()
            }
        }
    }

    override fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<LogError, LogPage> {
        simulation.sleep(random.nextLong(MAX_LATENCY_MS))
        log.faults = if (faultPhase?.rem(2) == 1 || random.nextInt(100) < faultPercent) LogFaults(outage = true) else LogFaults()
        return log.read(stream, fromOffset, maxRecords, waitMs)
    }

    // The in-memory log reads the faults when an append begins, before another thread of the simulation can run, so
    // concurrent calls do not get each other's faults.
    private fun append(
        faults: LogFaults,
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        log.faults = faults
        return log.append(stream, payload)
    }

    fun entries(): List<LogEntry> = store.read("config", 0, Int.MAX_VALUE).entries

    /** Simulates a crash of the publishing process. */
    class PublisherCrash : RuntimeException()

    private companion object {
        const val FAULT_KINDS = 7
        const val CALL_TIMEOUT_MS = 2_000L
        const val MAX_LATENCY_MS = 30L
    }
}
