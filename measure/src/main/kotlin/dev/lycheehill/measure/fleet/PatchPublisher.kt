package dev.lycheehill.measure.fleet

import arrow.core.Either
import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.config.log.Streams
import dev.lycheehill.platformlog.PlatformLog

/** Publishes valid patches of about 1 KB to [log]. Not thread-safe. */
class PatchPublisher(
    private val log: PlatformLog,
) {
    /** State of the configuration after the newest patch. */
    var state: FoldState = FoldState.initial()
        private set

    /** Appends a patch to the log and returns the version that results from the patch. */
    fun publish(): Long {
        val text = (0 until ENTRIES_PER_PATCH).joinToString("") { entry((state.version * ENTRIES_PER_PATCH + it) % DISTINCT_SERVICES) }
        val payload = RecordCodec.encode(PatchRecord.of(state.version, state.contentHash, text, "measure"))
        val offset = log.append(Streams.CONFIG, payload)
        check(offset is Either.Right) { "append of a patch failed" }
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
        const val ENTRIES_PER_PATCH = 5
        const val DISTINCT_SERVICES = 400
    }
}
