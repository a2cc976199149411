package dev.lycheehill.node.target

import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.logging.DecisionLog

/**
 * Keeps the newest heartbeat of the backend server beside this node and registers it.
 *
 * A later start replaces an earlier one; within one start the sequence decides. A start that said that it leaves does not
 * come back. Used on one thread.
 *
 * @param service service of the instance beside this node.
 * @param address address of that instance.
 */
class HeartbeatTracker(
    private val target: LocalTarget,
    private val service: String,
    private val address: String,
    private val leaseMs: Long,
    private val decisions: DecisionLog = DecisionLog(),
) {
    private var newest: TargetHeartbeat? = null
    private var hasLeft = false

    /** Takes [heartbeat] if it is the newest. */
    fun process(heartbeat: TargetHeartbeat): HeartbeatOutcome {
        val outcome = outcomeOf(heartbeat)
        if (outcome != HeartbeatOutcome.TAKEN) {
            log("heartbeat-passed-over", heartbeat, outcome.name)
            return outcome
        }
        val last = newest
        val isNewStart = last == null || last.instanceId != heartbeat.instanceId || last.startedAtMs != heartbeat.startedAtMs
        if (isNewStart) hasLeft = target.hasDeparted(heartbeat.instanceId, heartbeat.startedAtMs)
        newest = heartbeat
        if (isNewStart || last?.state != heartbeat.state) log("target-changed", heartbeat, heartbeat.state.name)
        target.announce(
            TargetRegistration(
                service = heartbeat.service,
                address = heartbeat.address,
                state = if (hasLeft) MemberState.DRAINING else heartbeat.state,
                slots = heartbeat.slots,
                leaseMs = leaseMs,
                instanceId = heartbeat.instanceId,
                startedAtMs = heartbeat.startedAtMs,
            ),
        )
        return outcome
    }

    /** Takes [heartbeat] unless there was one before. */
    fun processIfFirst(heartbeat: TargetHeartbeat) {
        if (newest == null) process(heartbeat)
    }

    /** The start named [instanceId] leaves. Returns whether it is the one that is registered. */
    fun deregister(instanceId: String): Boolean {
        val last = newest ?: return false
        if (last.instanceId != instanceId) return false
        hasLeft = true
        log("target-left", last, "LEFT")
        target.withdraw()
        return true
    }

    private fun outcomeOf(heartbeat: TargetHeartbeat): HeartbeatOutcome {
        val last = newest
        return when {
            heartbeat.service != service || heartbeat.address != address -> HeartbeatOutcome.FOREIGN
            last == null || heartbeat.startedAtMs > last.startedAtMs -> HeartbeatOutcome.TAKEN
            heartbeat.startedAtMs < last.startedAtMs || heartbeat.instanceId != last.instanceId -> HeartbeatOutcome.LATE
            heartbeat.sequence > last.sequence -> HeartbeatOutcome.TAKEN
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
