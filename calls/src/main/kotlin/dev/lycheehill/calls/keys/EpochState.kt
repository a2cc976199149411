package dev.lycheehill.calls.keys

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * What a member knows of one epoch: whether the homes of the previous epoch have stopped executing requests, and which of them
 * have handed over their keys. Not thread-safe.
 */
internal class EpochState(
    val epoch: HomeEpoch,
    private val settings: KeySettings,
) {
    private val acknowledged = HashSet<String>()
    private val handedOver = HashMap<HomeMember, Long?>()
    private var sealedNanos: Long? = null
    private var activatedWallMs: Long? = null

    /** Whether a majority of the previous members grants no more vouchers for the previous epoch. */
    val isSealed: Boolean get() = epoch.previousMembers.isEmpty() || sealedNanos != null

    /** Whether the epoch is not sealed yet. */
    val isOpen: Boolean get() = !isSealed

    fun acknowledge(
        memberId: String,
        nowNanos: Long,
    ) {
        if (sealedNanos != null || epoch.previousMembers.none { it.id == memberId }) return
        acknowledged += memberId
        if (acknowledged.size >= epoch.previousMajority) sealedNanos = nowNanos
    }

    /** Seals the epoch without acknowledgements, at the request of an operator. */
    fun seal(nowNanos: Long) {
        sealedNanos = sealedNanos ?: nowNanos
    }

    /**
     * Records that [from] has stopped executing requests, and that this member has stored all keys of [from] newer than [boundMs], in
     * milliseconds since the Unix epoch, or all keys of [from] if [boundMs] is null.
     */
    fun handOver(
        from: HomeMember,
        boundMs: Long?,
    ) {
        // Null means that all keys are stored, and is therefore lower than any bound. Of several hand-overs, the lowest bound applies.
        val known = if (from in handedOver) handedOver[from] else Long.MAX_VALUE
        handedOver[from] = if (known == null || boundMs == null) null else minOf(known, boundMs)
    }

    /** Sets the activation time once the leases of the previous homes have certainly expired. Returns whether the time is set. */
    fun tryActivate(
        nowNanos: Long,
        wallMs: Long,
    ): Boolean {
        val since = sealedNanos ?: return false
        if (nowNanos - since < (settings.leaseMs + settings.leaseMarginMs) * NANOS_PER_MILLI) return false
        activatedWallMs = activatedWallMs ?: wallMs
        return true
    }

    /**
     * Returns the readiness for the keys whose home in the previous epoch was [from]. Without a hand-over, the bound is the activation
     * time plus [KeySettings.boundMarginMs], the maximum time by which a key that ran at [from] can be newer than the activation.
     */
    fun readinessForKeysOf(from: HomeMember): HomeReadiness {
        if (from in handedOver) return HomeReadiness.Ready(handedOver[from])
        return activatedWallMs?.let { HomeReadiness.Ready(it + settings.boundMarginMs) } ?: HomeReadiness.PreviousHomeMayBeActive
    }
}
