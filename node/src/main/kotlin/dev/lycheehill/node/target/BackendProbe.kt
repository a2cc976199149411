package dev.lycheehill.node.target

import dev.lycheehill.fleet.FleetView
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.client.NodeHttpClient
import dev.lycheehill.node.dialect.CallDialect
import io.netty.handler.codec.http.HttpMethod

/**
 * Asks the backend server beside this node for its state when the node has started, because its next heartbeat can be a
 * whole period away. Any heartbeat takes precedence over the answer.
 *
 * @param address address of the backend server.
 */
internal class BackendProbe(
    private val caller: NodeHttpClient,
    private val fleet: FleetView,
    private val dialect: CallDialect,
    private val register: HeartbeatTracker,
    private val service: String,
    private val address: String,
) {
    private var asked = false

    /** Asks once, as soon as a configuration tells where. */
    fun run() {
        val path =
            fleet
                .foldState()
                .content.services[service]
                ?.healthPath ?: return
        if (asked) return
        asked = true
        caller.call(address, HttpMethod.GET, path, timeoutMs = ANSWER_TIMEOUT_MS) { result ->
            result.onRight { answer ->
                dialect.healthOf(answer.status, answer.headers)?.let { register.processIfFirst(heartbeat(it.instanceId, it.slots)) }
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
        // The answer waits for a slot of the backend server.
        const val ANSWER_TIMEOUT_MS = 1_000L
    }
}
