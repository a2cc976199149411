package dev.lycheehill.node.target

import dev.lycheehill.fleet.FleetView
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.client.NodeHttpClient
import dev.lycheehill.node.dialect.CallDialect
import io.netty.handler.codec.http.HttpMethod

/**
 * Sends one health request to the backend server beside this node after the node has started, because the next heartbeat
 * can be a whole heartbeat period away. Any heartbeat takes precedence over the response.
 *
 * @param service service of the backend server.
 * @param address address of the backend server, written as `ip:port`.
 */
internal class BackendProbe(
    private val httpClient: NodeHttpClient,
    private val fleet: FleetView,
    private val dialect: CallDialect,
    private val tracker: HeartbeatTracker,
    private val service: String,
    private val address: String,
) {
    private var isRequestSent = false

    /**
     * Sends the health request, once. Does nothing while the configuration in force has no health path for the service; call
     * it again after each change of the configuration.
     */
    fun run() {
        val path =
            fleet
                .foldState()
                .content.services[service]
                ?.healthPath ?: return
        if (isRequestSent) return
        isRequestSent = true
        httpClient.call(address, HttpMethod.GET, path, timeoutMs = RESPONSE_TIMEOUT_MS) { result ->
            result.onRight { response ->
                dialect.healthOf(response.status, response.headers)?.let { tracker.processIfFirst(heartbeat(it.instanceId, it.slots)) }
            }
        }
    }

    private fun heartbeat(
        instanceId: String,
        slots: Int,
    ) = TargetHeartbeat(
        instanceId = instanceId,
        startedAtMs = 0,
        sequence = 0,
        service = service,
        address = address,
        state = MemberState.READY,
        slots = slots,
    )

    private companion object {
        // The health request may wait for a free slot of the backend server.
        const val RESPONSE_TIMEOUT_MS = 1_000L
    }
}
