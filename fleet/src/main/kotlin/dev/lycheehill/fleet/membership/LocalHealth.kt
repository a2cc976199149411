package dev.lycheehill.fleet.membership

/**
 * Judges from a node's own probes whether the node itself is at fault, after the local health of Lifeguard.
 *
 * While most of the recent probes fail, [factor] doubles up to [MAX_FACTOR] and nobody is suspected. At the largest
 * factor a node suspects again if some probes succeed, since then the peers are at fault; if none succeeds, the node is cut off.
 */
internal class LocalHealth {
    private val results = ArrayDeque<Boolean>()

    /** Multiplies the time limits of the failure detector. */
    var factor: Int = 1
        private set

    private val failures: Int get() = results.count { !it }
    private val mostFail: Boolean get() = results.size >= MIN_PROBES && failures * 2 > results.size

    /** Whether a failed probe may raise a suspicion. */
    val maySuspect: Boolean get() = !mostFail || (factor == MAX_FACTOR && failures < results.size)

    /** Records the outcome of one probe. */
    fun record(succeeded: Boolean) {
        results.addLast(succeeded)
        if (results.size > WINDOW) results.removeFirst()
        factor = if (mostFail) minOf(MAX_FACTOR, factor * 2) else maxOf(1, factor / 2)
    }

    private companion object {
        const val WINDOW = 8
        const val MIN_PROBES = 4
        const val MAX_FACTOR = 8
    }
}
