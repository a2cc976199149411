package dev.lycheehill.fleet.membership

/**
 * Health of the local node according to its own probes, after the local health multiplier of Lifeguard.
 *
 * While most of the recent probes fail, the fault may lie with the local node: [factor] doubles with each probe up to [MAX_FACTOR], and
 * no member is suspected. At the largest factor, members are suspected again if at least one recent probe succeeded, since the peers
 * are then at fault. If none succeeded, the local node counts as disconnected.
 */
internal class LocalHealth {
    private val results = ArrayDeque<Boolean>()

    /** Multiplier of the timeouts of the failure detector. */
    var factor: Int = 1
        private set

    private val failures: Int get() = results.count { !it }
    private val mostProbesFailed: Boolean get() = results.size >= MIN_PROBES && failures * 2 > results.size

    /** Whether a failed probe may lead to a suspicion. */
    val maySuspect: Boolean get() = !mostProbesFailed || (factor == MAX_FACTOR && failures < results.size)

    /** Records the outcome of one probe. */
    fun record(succeeded: Boolean) {
        results.addLast(succeeded)
        if (results.size > WINDOW_PROBES) results.removeFirst()
        factor = if (mostProbesFailed) minOf(MAX_FACTOR, factor * 2) else maxOf(1, factor / 2)
    }

    private companion object {
        const val WINDOW_PROBES = 8
        const val MIN_PROBES = 4
        const val MAX_FACTOR = 8
    }
}
