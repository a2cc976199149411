package dev.lycheehill.node.loop

/**
 * Estimates how long a request has waited in the connection before the event loop read it.
 *
 * It answers the load in which the node's own processor is the limit, as after a start: the loop then takes one round of
 * requests after the other, and what is read in a round arrived during the round before it. Without that time a request counts
 * as new, waits for a slot that it can't use in time, and its answer is late.
 *
 * Used on one event loop only.
 *
 * @param atEndOfRound runs its argument after the requests of the current round have been read.
 * @param clockNanos the monotonic clock.
 */
internal class ReadDelay(
    private val atEndOfRound: (Runnable) -> Unit,
    private val clockNanos: () -> Long = System::nanoTime,
) {
    private var isInRound = false
    private var startNanos = 0L
    private var lastRoundNanos = 0L
    private var lastEndNanos = 0L

    /** Estimated wait in nanoseconds of a request that is read now. */
    fun onRequest(): Long {
        val now = clockNanos()
        if (!isInRound) begin(now)
        return waitBeforeRoundNanos() + now - startNanos
    }

    private fun begin(nowNanos: Long) {
        isInRound = true
        startNanos = nowNanos
        atEndOfRound { end() }
    }

    private fun end() {
        isInRound = false
        lastEndNanos = clockNanos()
        lastRoundNanos = lastEndNanos - startNanos
    }

    // Requests arrive evenly over the last round. A loop that has paused since then had read all of them.
    private fun waitBeforeRoundNanos(): Long {
        val pauseNanos = startNanos - lastEndNanos
        return (lastRoundNanos / 2 - PAUSE_WEIGHT * pauseNanos).coerceAtLeast(0)
    }

    private companion object {
        // A pause of a quarter of a round is no longer the work between two rounds.
        const val PAUSE_WEIGHT = 2
    }
}
