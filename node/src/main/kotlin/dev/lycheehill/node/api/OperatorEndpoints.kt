package dev.lycheehill.node.api

import dev.lycheehill.config.fold.PatchOutcome
import dev.lycheehill.config.fold.outcomeOf
import dev.lycheehill.config.log.PatchId
import dev.lycheehill.fleet.FleetView
import dev.lycheehill.node.target.LocalTarget
import io.netty.handler.codec.http.HttpMethod

/** Endpoints for the node's health and readiness, its configuration version, the status of patches, and draining. */
internal class OperatorEndpoints(
    private val fleet: FleetView,
    private val target: LocalTarget,
    private val drain: () -> Unit,
) {
    fun all(): List<ApiEndpoint> =
        listOf(
            ApiEndpoint(HttpMethod.GET, "/healthz") { ApiResponse.json(Health("ok")) },
            ApiEndpoint(HttpMethod.GET, "/readyz") { readiness() },
            ApiEndpoint(HttpMethod.GET, "/v1/version") { version() },
            ApiEndpoint(HttpMethod.GET, "/v1/status/*") { status(it.pathParameter) },
            ApiEndpoint(HttpMethod.POST, "/v1/drain") { startDraining() },
        )

    private fun readiness(): ApiResponse {
        val reason =
            when {
                fleet.foldState().version == 0L -> "no configuration yet"
                target.isDraining -> "draining"
                else -> null
            }
        return ApiResponse.json(Readiness(reason == null, reason), if (reason == null) 200 else 503)
    }

    private fun version(): ApiResponse {
        val state = fleet.foldState()
        val report = fleet.inForce(state.version)
        return ApiResponse.json(VersionReport(state.version, state.contentHash, state.nextOffset, state.stoppedReason, report))
    }

    private fun status(text: String): ApiResponse {
        val id = PatchId.parse(text) ?: return ApiResponse.error(400, "not a patch id: $text")
        val status =
            when (val outcome = fleet.foldState().outcomeOf(id)) {
                is PatchOutcome.Accepted ->
                    PatchStatus(text, "accepted", version = outcome.version, inForce = fleet.inForce(outcome.version))
                is PatchOutcome.Refused -> PatchStatus(text, "refused", reason = outcome.reason)
                PatchOutcome.NotKnownYet -> PatchStatus(text, "not-known-yet")
                PatchOutcome.TooOldToTell -> PatchStatus(text, "too-old-to-tell")
            }
        return ApiResponse.json(status)
    }

    private fun startDraining(): ApiResponse {
        drain()
        return ApiResponse.json(DrainStatus(draining = true, inFlight = target.inFlight))
    }
}
