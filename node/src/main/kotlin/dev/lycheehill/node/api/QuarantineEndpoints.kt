package dev.lycheehill.node.api

import dev.lycheehill.calls.quarantine.CrashQuarantine
import dev.lycheehill.calls.quarantine.RequestFingerprint
import dev.lycheehill.core.time.TimerService
import io.netty.handler.codec.http.HttpMethod

/** Endpoints that list the requests quarantined on this node and lift their quarantine. */
internal class QuarantineEndpoints(
    private val quarantine: CrashQuarantine,
    private val timers: TimerService,
) {
    fun all(): List<ApiEndpoint> =
        listOf(
            ApiEndpoint(HttpMethod.GET, "/v1/quarantine") { list() },
            ApiEndpoint(HttpMethod.DELETE, "/v1/quarantine/*") { lift(it.pathParameter) },
        )

    private fun list(): ApiResponse {
        val now = timers.wallMillis()
        return ApiResponse.json(
            quarantine.list(now).map { QuarantineView(it.fingerprint.toString(), it.nodeIds.sorted(), it.untilMs - now) },
        )
    }

    private fun lift(text: String): ApiResponse {
        val fingerprint = RequestFingerprint.parse(text) ?: return ApiResponse.error(400, "not a fingerprint: $text")
        if (!quarantine.lift(fingerprint, timers.wallMillis())) return ApiResponse.error(404, "not in quarantine: $text")
        return list()
    }
}
