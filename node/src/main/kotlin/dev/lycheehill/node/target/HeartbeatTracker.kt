package dev.lycheehill.node.target

import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.logging.DecisionLog

/**
 * Tracks the newest heartbeat of the backend server beside this node and registers the backend server accordingly.
 *
 * A heartbeat of a later process of the backend server replaces those of earlier processes. Among the heartbeats of one
 * process, the one with the highest sequence is the newest. A process that has deregistered stays `DRAINING`, whatever its
 * later heartbeats say. Used on one thread.
 *
 * @param service service of the backend server beside this node.
 * @param address address of that backend server, written as `ip:port`.
 * @param leaseMs time after the newest heartbeat for which the registration is valid.
 */
class HeartbeatTracker(
    private val target: LocalTarget,
    private val service: String,
    private val address: String,
    private val leaseMs: Long,
    private val decisions: DecisionLog = DecisionLog(),
) {
    private var newest: TargetHeartbeat? = null
    private var isDeregistered = false

    /** Applies [heartbeat] to the registration if it is the newest. Returns whether it was applied, or why it was ignored. */
    fun process(heartbeat: TargetHeartbeat): HeartbeatOutcome {
        val outcome = outcomeOf(heartbeat)
        if (outcome != HeartbeatOutcome.TAKEN) {
            log("heartbeat-passed-over", heartbeat, outcome.name)
            return outcome
        }
        val previous = newest
        val isNewProcess = previous == null || previous.instanceId != heartbeat.instanceId || previous.startedAtMs != heartbeat.startedAtMs
        if (isNewProcess) isDeregistered = target.hasDeparted(heartbeat.instanceId, heartbeat.startedAtMs)
        newest = heartbeat
        if (isNewProcess || previous?.state != heartbeat.state) log("target-changed", heartbeat, heartbeat.state.name)
        target.announce(
            TargetRegistration(
                service = heartbeat.service,
                address = heartbeat.address,
                state = if (isDeregistered) MemberState.DRAINING else heartbeat.state,
                slots = heartbeat.slots,
                leaseMs = leaseMs,
                instanceId = heartbeat.instanceId,
                startedAtMs = heartbeat.startedAtMs,
            ),
        )
        return outcome
    }

    /** Processes [heartbeat] unless a heartbeat was applied before. */
    fun processIfFirst(heartbeat: TargetHeartbeat) {
        if (newest == null) process(heartbeat)
    }

    /**
     * Withdraws the registration of the backend server if [instanceId] names its current process. Returns whether it does. A
     * late request for an earlier process changes nothing.
     */
    fun deregister(instanceId: String): Boolean {
        val previous = newest ?: return false
        if (previous.instanceId != instanceId) return false
        isDeregistered = true
        log("target-left", previous, "LEFT")
        target.withdraw()
        return true
    }

    /** Withdraws the registration if its process has departed, as an earlier process of this node has recorded. */
    fun onDepartureLearned() {
        val current = newest ?: return
        if (isDeregistered || !target.hasDeparted(current.instanceId, current.startedAtMs)) return
        isDeregistered = true
        log("target-left", current, "LEARNED")
        target.withdraw()
    }

    private fun outcomeOf(heartbeat: TargetHeartbeat): HeartbeatOutcome {
        val previous = newest
        return when {
            heartbeat.service != service || heartbeat.address != address -> HeartbeatOutcome.FOREIGN
            previous == null || heartbeat.startedAtMs > previous.startedAtMs -> HeartbeatOutcome.TAKEN
            heartbeat.startedAtMs < previous.startedAtMs || heartbeat.instanceId != previous.instanceId -> HeartbeatOutcome.LATE
            heartbeat.sequence > previous.sequence -> HeartbeatOutcome.TAKEN
            else -> HeartbeatOutcome.LATE
        }
    }

    private fun log(
        event: String,
        heartbeat: TargetHeartbeat,
        outcome: String,
    ) = decisions.write(
        event,
        "instance" to heartbeat.instanceId,
        "born_ms" to heartbeat.startedAtMs,
        "sequence" to heartbeat.sequence,
        "slots" to heartbeat.slots,
        "outcome" to outcome,
        "newest_sequence" to newest?.sequence,
    )
}
