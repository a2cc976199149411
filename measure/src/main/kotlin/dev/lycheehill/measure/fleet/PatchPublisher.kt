package dev.lycheehill.measure.fleet

import arrow.core.Either
import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.config.log.Streams
import dev.lycheehill.platformlog.PlatformLog

/** Appends valid patches of about 1 KB to a log. Not thread-safe. */
class PatchPublisher(
    private val log: PlatformLog,
) {
    /** State after the last patch. */
    var state: FoldState = FoldState.initial()
        private set

    /** Appends a patch and returns the version that it makes. */
    fun publish(): Long {
        val text = (0 until ENTRIES).joinToString("") { entry((state.version * ENTRIES + it) % DISTINCT) }
        val payload = RecordCodec.encode(PatchRecord.of(state.version, state.contentHash, text, "measure"))
        val offset = log.append(Streams.CONFIG, payload)
        check(offset is Either.Right) { "append failed" }
        state = ConfigFold.apply(state, LogEntry(offset.value, payload))
        return state.version
    }

    private fun entry(index: Long): String =
        """
        [services.service-$index]
        timeout_ms = ${1_000 + (state.version % 1_000)}
        max_in_flight_per_target = 10
        [routes.route-$index]
        host = "bobbins.example"
        path_prefix = "/service-$index"
        methods = ["GET", "HEAD"]
        weights = { service-$index = 100 }

        """.trimIndent()

    private companion object {
        const val ENTRIES = 5
        const val DISTINCT = 400
    }
}
