package dev.lycheehill.node.api

import dev.lycheehill.node.target.LocalTarget
import dev.lycheehill.node.target.TargetRegistration
import io.netty.handler.codec.http.HttpMethod

/** Endpoints with which the backend server beside the node registers, reports its load and withdraws. */
internal class TargetEndpoints(
    private val target: LocalTarget,
    private val defaultLeaseMs: Long,
) {
    fun all(): List<ApiEndpoint> =
        listOf(
            ApiEndpoint(HttpMethod.PUT, "/v1/target") { announce(it.body) },
            ApiEndpoint(HttpMethod.PUT, "/v1/target/load") { load(it.body) },
            ApiEndpoint(HttpMethod.DELETE, "/v1/target") { withdraw() },
        )

    private fun announce(body: String): ApiResponse =
        TargetAnnouncement.parse(body, defaultLeaseMs).fold({
            ApiResponse.error(400, it)
        }, ::announce)

    private fun announce(announcement: TargetAnnouncement): ApiResponse {
        target.announce(
            TargetRegistration(
                service = announcement.service,
                address = announcement.address,
                state = announcement.state,
                slots = announcement.slots,
                leaseMs = announcement.leaseMs,
            ),
        )
        return status()
    }

    private fun load(body: String): ApiResponse =
        TargetLoad.parse(body).fold({ ApiResponse.error(400, it) }) {
            target.reportedLoad = it
            status()
        }

    private fun withdraw(): ApiResponse {
        target.withdraw()
        return status()
    }

    private fun status() = ApiResponse.json(TargetStatus(target.refusal() == null, target.refusal()))
}
