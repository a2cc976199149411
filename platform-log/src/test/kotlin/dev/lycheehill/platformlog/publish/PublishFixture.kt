package dev.lycheehill.platformlog.publish

import arrow.core.Either
import arrow.core.left
import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.DecodedRecord
import dev.lycheehill.config.log.FenceRecord
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.config.log.Streams
import dev.lycheehill.core.Verdict
import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.Sleeper
import dev.lycheehill.platformlog.memory.InMemoryPlatformLog
import dev.lycheehill.platformlog.memory.LogFaults
import kotlin.random.Random

/** Provides a log on a fake clock, a node whose state the test sets, and publishers that use both. */
class PublishFixture {
    val timers = FakeTimerService()
    val sleeper = Sleeper { timers.advance(it) }
    val log = InMemoryPlatformLog(timers, sleeper)
    var nodeState = FoldState.initial()
    var inForceCount = InForceCount(nodes = 4, nodesInForce = 4)

    /** Called with the payload of each append. Returns the result of the append, or null to append the payload to [log]. */
    var onAppend: (ByteArray) -> Either<LogError, Long>? = { null }

    private val scriptedLog =
        object : PlatformLog by log {
            override fun append(
                stream: String,
                payload: ByteArray,
            ) = onAppend(payload) ?: log.append(stream, payload)
        }

    fun publisher() = Publisher(scriptedLog, { nodeState }, { inForceCount }, timers, Random(1), sleeper)

    fun publish(request: PublishRequest = PublishRequest(TEXT)) = publisher().publish(request)

    /** Injects [faults] into [log] for [durationMs] milliseconds. */
    fun injectFaults(
        faults: LogFaults,
        durationMs: Long,
    ) {
        log.faults = faults
        timers.after(durationMs) { log.faults = LogFaults() }
    }

    /** Folds the retained records of the log like a node. */
    fun foldLog(): FoldState {
        val first = log.store.read(Streams.CONFIG, 0, 1).firstRetainedOffset
        val page = log.store.read(Streams.CONFIG, first, Int.MAX_VALUE)
        return page.entries.fold(FoldState.initial().copy(nextOffset = first), ConfigFold::apply)
    }

    fun appendPatch(text: String) = log.store.append(Streams.CONFIG, RecordCodec.encode(record(text, foldLog())))

    companion object {
        const val TEXT = "[services.a]\ntimeout_ms = 7"

        val LOST = LogError(LogError.Kind.TIMEOUT, Verdict.MAY_HAVE_RUN, "lost").left()

        fun record(
            text: String,
            base: FoldState,
        ) = PatchRecord.of(base.version, base.contentHash, text)

        fun isFence(payload: ByteArray) = (RecordCodec.decode(payload) as DecodedRecord.Known).record is FenceRecord

        fun base(state: FoldState) = PatchBase(state.version, state.contentHash)
    }
}
