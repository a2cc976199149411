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

/** Draws a fault for each call. [faultPercent] is the share of faulty calls in percent. */
class FaultInjectingLog(
    private val simulation: Simulation,
    private val random: Random,
    private val faultPercent: Int,
) : PlatformLog {
    private val log = InMemoryPlatformLog(simulation.timers, simulation, CALL_TIMEOUT_MS)
    val store get() = log.store

    /** Kind of fault that all appends have at the moment, or null. */
    var phase: Int? = null

    /** Draws the kind of fault for the next seconds. Reads fail in odd phases. */
    fun nextPhase() {
        phase = random.nextInt(2 * KINDS).takeIf { it < KINDS }
    }

    override fun append(
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        simulation.sleep(random.nextLong(MAX_LATENCY_MS))
        return when (phase ?: random.nextInt(KINDS).takeIf { random.nextInt(100) < faultPercent }) {
            null -> append(LogFaults(), stream, payload)
            0 -> append(LogFaults(outage = true), stream, payload)
            1 -> append(LogFaults(maxAppendsPerS = 0), stream, payload)
            2 -> append(LogFaults(loseAnswers = true), stream, payload)
            3 -> append(LogFaults(delayMs = random.nextLong(40_000)), stream, payload)
            4 -> LogError(LogError.Kind.TIMEOUT, Verdict.MAY_HAVE_RUN, "lost before the write").left()
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
        log.faults = if (phase?.rem(2) == 1 || random.nextInt(100) < faultPercent) LogFaults(outage = true) else LogFaults()
        return log.read(stream, fromOffset, maxRecords, waitMs)
    }

    // The in-memory log reads its switches when an append begins, before it gives way.
    private fun append(
        faults: LogFaults,
        stream: String,
        payload: ByteArray,
    ): Either<LogError, Long> {
        log.faults = faults
        return log.append(stream, payload)
    }

    fun entries(): List<LogEntry> = store.read("config", 0, Int.MAX_VALUE).entries

    /** The process of the publisher ends. */
    class PublisherCrash : RuntimeException()

    private companion object {
        const val KINDS = 7
        const val CALL_TIMEOUT_MS = 2_000L
        const val MAX_LATENCY_MS = 30L
    }
}
