package dev.lycheehill.calls.keys

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** What a member knows of one epoch: whether the homes of the epoch before have stopped, and what they handed over. */
internal class EpochState(
    val epoch: HomeEpoch,
    private val settings: KeySettings,
) {
    private val acknowledged = HashSet<String>()
    private val handedOver = HashMap<HomeMember, Long?>()
    private var sealedNanos: Long? = null
    private var activeWallMs: Long? = null

    /** Whether a majority of the epoch before gives no vouchers for it any more. */
    val isSealed: Boolean get() = epoch.previousMembers.isEmpty() || sealedNanos != null

    /** Whether the seal is still missing. */
    val isOpen: Boolean get() = !isSealed

    fun acknowledge(
        memberId: String,
        nowNanos: Long,
    ) {
        if (sealedNanos != null || epoch.previousMembers.none { it.id == memberId }) return
        acknowledged += memberId
        if (acknowledged.size >= epoch.previousMajority) sealedNanos = nowNanos
    }

    /** Starts the wait without acknowledgements, on the operator's word. */
    fun seal(nowNanos: Long) {
        sealedNanos = sealedNanos ?: nowNanos
    }

    /** Records that [from] has stopped and that all its keys newer than [boundMs] are in the table. */
    fun handOver(
        from: HomeMember,
        boundMs: Long?,
    ) {
        val known = if (from in handedOver) handedOver[from] else Long.MAX_VALUE
        handedOver[from] = if (known == null || boundMs == null) null else minOf(known, boundMs)
    }

    /** Fixes the activation time once the lease of the home before has surely run out. */
    fun tryActivate(
        nowNanos: Long,
        wallMs: Long,
    ): Boolean {
        val since = sealedNanos ?: return false
        if (nowNanos - since < (settings.leaseMs + settings.leaseMarginMs) * NANOS_PER_MILLI) return false
        activeWallMs = activeWallMs ?: wallMs
        return true
    }

    /** What the member knows of the keys that [from] was home of in the epoch before. */
    fun standing(from: HomeMember): HomeReadiness {
        if (from in handedOver) return HomeReadiness.Ready(handedOver[from])
        return activeWallMs?.let { HomeReadiness.Ready(it + settings.boundMarginMs) } ?: HomeReadiness.Waiting
    }
}
