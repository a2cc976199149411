package dev.lycheehill.measure.fleet

import dev.lycheehill.fleet.membership.MemberState
import kotlin.random.Random

/**
 * Changes of a whole fleet at a multiple of the planned rate: 11,000 patches and 8,000 restarts of four state changes a
 * day. The number of changes does not depend on the number of nodes, because every node hears of each change.
 */
class ChangeLoad(
    private val source: PatchPublisher,
    private val random: Random,
) {
    /** Runs for [seconds]; changes members of [fleet] if it is ours. */
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
            while (duePatches >= 1) duePatches = (duePatches - 1).also { source.publish() }
            while (dueChanges >= 1) dueChanges = (dueChanges - 1).also { changeState(fleet) }
        }
    }

    private fun changeState(fleet: MeasuredFleet) {
        val agent = (fleet as? AgentFleet)?.running?.random(random) ?: return
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
