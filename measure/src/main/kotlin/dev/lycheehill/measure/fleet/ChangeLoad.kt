package dev.lycheehill.measure.fleet

import dev.lycheehill.fleet.membership.MemberState
import kotlin.random.Random

/**
 * Generates the changes of a whole fleet at a multiple of the planned rate, which is 11,000 patches and 8,000 restarts with
 * four state changes each per day. The rate is the same for fleets of all sizes, because every node receives each change.
 */
class ChangeLoad(
    private val publisher: PatchPublisher,
    private val random: Random,
) {
    /** Runs for [seconds] at [multiple] times the planned rate. Member states change only if [fleet] is an [AgentFleet]. */
    fun run(
        fleet: MeasuredFleet,
        multiple: Double,
        seconds: Int,
    ) {
        val end = System.nanoTime() + seconds * NANOS_PER_SECOND
        var duePatches = 0.0
        var dueChanges = 0.0
        while (System.nanoTime() < end) {
            Thread.sleep(STEP_MS)
            duePatches += multiple * PATCHES_PER_DAY / STEPS_PER_DAY
            dueChanges += multiple * STATE_CHANGES_PER_DAY / STEPS_PER_DAY
            while (duePatches >= 1) duePatches = (duePatches - 1).also { publisher.publish() }
            while (dueChanges >= 1) dueChanges = (dueChanges - 1).also { changeState(fleet) }
        }
    }

    private fun changeState(fleet: MeasuredFleet) {
        val agent = (fleet as? AgentFleet)?.runningAgents?.random(random) ?: return
        agent.announce(if (agent.self.state == MemberState.READY) MemberState.COLD else MemberState.READY)
    }

    private companion object {
        const val PATCHES_PER_DAY = 11_000.0
        const val STATE_CHANGES_PER_DAY = 4 * 8_000.0
        const val STEP_MS = 50L
        const val STEPS_PER_DAY = 86_400_000.0 / STEP_MS
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
