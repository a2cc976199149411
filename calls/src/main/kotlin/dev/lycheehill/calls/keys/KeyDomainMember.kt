package dev.lycheehill.calls.keys

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * State of one member in one key domain: the epochs it has seen, the vouchers it holds, and for each epoch whether the
 * homes before have stopped. Not thread-safe.
 *
 * Why a key runs at most once:
 * 1. Only its home in an epoch executes it, with vouchers of a majority of the epoch, at most one lease old.
 * 2. A member that has seen a later epoch gives no voucher for an earlier one. Once a majority of the members has seen
 *    it, the earlier home has no majority one lease later. A restarted member has another boot id and never vouches for
 *    the epochs of its former self, so its acknowledgement counts but its voucher does not.
 * 3. A new home waits for that, or for the hand-over of the earlier home, which has then stopped.
 * 4. A key that the earlier home accepted is not newer than the activation of the new home by more than the clock
 *    allowance and the accepted lead of keys. The new home does not run such a key unless it was handed over.
 * 5. An epoch is proposed only when the epoch before the current one is sealed (see [mayPropose]), so no home of an
 *    even earlier epoch is left.
 */
class KeyDomainMember(
    private val domain: String,
    private val selfId: String,
    private val bootId: Long,
    private val settings: KeySettings = KeySettings(),
) {
    private val entries = ArrayDeque<EpochState>()
    private val handOversTaken = HashSet<Pair<Long, String>>()
    private var vouchers = VoucherSet(needed = 1, settings.leaseMs)
    private var lastAskedNanos: Long? = null
    private var lastUsedNanos = 0L
    private var lastHandOverNanos: Long? = null
    private var handOverDelayMs = FIRST_HAND_OVER_DELAY_MS

    /** Latest epoch seen; null before the first one. */
    val current: HomeEpoch? get() = entries.lastOrNull()?.epoch

    /** Takes the next epoch of the log. Epochs that are not later than the current one are ignored. */
    fun onEpoch(
        epoch: HomeEpoch,
        nowNanos: Long,
    ) {
        val last = current
        if (last != null && epoch.number <= last.number) return
        // Without the epochs in between, earlier ones say nothing about who was home since.
        if (epoch.reset || last != null && epoch.number != last.number + 1) entries.clear()
        val entry = EpochState(epoch, settings)
        entries.addLast(entry)
        if (entries.size > settings.maxEpochs) entries.removeFirst()
        handOversTaken.removeAll { (number, _) -> number <= epoch.number - MAX_HAND_OVERS }
        if (epoch.reset) entry.seal(nowNanos)
        entries.forEach { it.acknowledge(selfId, nowNanos) }
        vouchers = VoucherSet(needed = epoch.majority - 1, settings.leaseMs)
        lastAskedNanos = null
        lastUsedNanos = nowNanos
        lastHandOverNanos = null
        handOverDelayMs = FIRST_HAND_OVER_DELAY_MS
    }

    /** Request to send now and the ids of its receivers, or null when none is due. */
    fun nextRequest(
        nowNanos: Long,
        wallMs: Long,
    ): Pair<VoucherRequest, Set<String>>? {
        val epoch = current ?: return null
        entries.forEach { it.tryActivate(nowNanos, wallMs) }
        val last = lastAskedNanos
        if (last != null && nowNanos - last < settings.renewalPeriodMs * NANOS_PER_MILLI) return null
        if (entries.none { it.isOpen } && nowNanos - lastUsedNanos > settings.idleTimeoutMs * NANOS_PER_MILLI) return null
        lastAskedNanos = nowNanos
        val receivers = epoch.members.mapTo(HashSet()) { it.id }
        entries.filter { it.isOpen }.flatMap { it.epoch.previousMembers }.mapTo(receivers) { it.id }
        return VoucherRequest(domain, epoch.number, selfId, bootId, nowNanos, wallMs) to receivers - selfId
    }

    /** Answers the request of another member. */
    fun onRequest(request: VoucherRequest): VoucherReply {
        val epoch = current
        val granted =
            epoch != null &&
                epoch.number == request.epoch &&
                isSelfMember(epoch) &&
                epoch.members.any { it.id == request.homeId && it.bootId == request.homeBootId }
        return VoucherReply(request, selfId, bootId, epoch?.number ?: 0, granted)
    }

    /** Takes the answer of another member. */
    fun onReply(
        reply: VoucherReply,
        nowNanos: Long,
    ) {
        val isOwn = reply.request.homeId == selfId && reply.request.homeBootId == bootId
        if (!isOwn) return
        for (entry in entries) if (reply.seenEpoch >= entry.epoch.number) entry.acknowledge(reply.memberId, nowNanos)
        val epoch = current ?: return
        val isMember = epoch.members.any { it.id == reply.memberId && it.bootId == reply.memberBootId }
        if (reply.granted && reply.request.epoch == epoch.number && isMember) vouchers.add(reply.memberId, reply.request)
    }

    /** Whether this node may propose the epoch after [currentEpoch]: the epoch before the current one must be sealed. */
    fun mayPropose(currentEpoch: Long): Boolean = entries.lastOrNull()?.let { it.epoch.number == currentEpoch && it.isSealed } ?: false

    /** Records the complete hand-over of [from] at the start of [epoch]; false if it does not concern this member. */
    internal fun onHandOver(
        epoch: Long,
        from: HomeMember,
        boundMs: Long?,
    ): Boolean {
        val entry = entries.firstOrNull { it.epoch.number == epoch && isSelfMember(it.epoch) } ?: return false
        if (entry.epoch.previousMembers.none { it.id == from.id && it.bootId == from.bootId }) return false
        entry.handOver(identity(from), boundMs)
        return true
    }

    internal fun standing(
        key: KeyHash,
        nowNanos: Long,
        wallMs: Long,
    ): HomeReadiness {
        lastUsedNanos = nowNanos
        val home = current?.homeOf(key)
        if (home == null || !isSelf(home)) return HomeReadiness.NotHome(home?.id)
        if (!vouchers.isValid(nowNanos, wallMs)) return HomeReadiness.NoVouchers
        return sinceMoved(key, nowNanos, wallMs)
    }

    /**
     * Recent epochs for which this member has still to hand over, each with the bound of the keys that move: unknown
     * ones that are not newer may have run before this member was their home.
     */
    internal fun handOversDue(nowNanos: Long): List<Pair<HomeEpoch, Long?>> {
        val last = lastHandOverNanos
        if (last != null && nowNanos - last < handOverDelayMs * NANOS_PER_MILLI) return emptyList()
        val due =
            entries
                .takeLast(MAX_HAND_OVERS)
                .filter { it.epoch.previousMembers.any(::isSelf) && unconfirmed(it.epoch).isNotEmpty() }
                .mapNotNull { entry -> (handOverBound(entry.epoch) as? HomeReadiness.Ready)?.let { entry.epoch to it.boundMs } }
        if (due.isNotEmpty()) {
            lastHandOverNanos = nowNanos
            handOverDelayMs = minOf(MAX_HAND_OVER_DELAY_MS, handOverDelayMs * 2)
        }
        return due
    }

    /** Members that have not confirmed the hand-over at the start of [epoch]. */
    internal fun unconfirmed(epoch: HomeEpoch): List<HomeMember> =
        epoch.members.filter { it.id != selfId && it.weight > 0 && (epoch.number to it.id) !in handOversTaken }

    internal fun onHandOverTaken(
        epoch: Long,
        toId: String,
    ) {
        handOversTaken += epoch to toId
    }

    private fun handOverBound(epoch: HomeEpoch): HomeReadiness {
        val earlier = entries.filter { it.epoch.number < epoch.number }
        if (earlier.lastOrNull()?.epoch?.number != epoch.number - 1) return HomeReadiness.Waiting
        var bound: Long? = null
        for (entry in earlier.filter { isSelfMember(it.epoch) }) {
            // What this member knows of its own keys is missing only before the first epoch it remembers.
            val homesBefore = entry.epoch.previousMembers.filter { entry === earlier.first() || !isSelf(it) }
            for (from in homesBefore) {
                val ready = entry.standing(identity(from)) as? HomeReadiness.Ready ?: return HomeReadiness.Waiting
                bound = listOfNotNull(bound, ready.boundMs).maxOrNull()
            }
        }
        return HomeReadiness.Ready(bound)
    }

    // Goes back to the epoch in which this member became the home of the key.
    private fun sinceMoved(
        key: KeyHash,
        nowNanos: Long,
        wallMs: Long,
    ): HomeReadiness {
        for (index in entries.indices.reversed()) {
            val entry = entries[index]
            val from = entry.epoch.previousHomeOf(key)
            if (from == null && entry.epoch.previousMembers.isEmpty()) return HomeReadiness.Ready(null)
            if (from != null && isSelf(from) && index > 0) continue
            entry.tryActivate(nowNanos, wallMs)
            return entry.standing(identity(from ?: NOBODY))
        }
        return HomeReadiness.Waiting
    }

    private fun isSelfMember(epoch: HomeEpoch): Boolean = epoch.members.any(::isSelf)

    private fun isSelf(member: HomeMember): Boolean = member.id == selfId && member.bootId == bootId

    // The weight is no part of the identity.
    private fun identity(member: HomeMember): HomeMember = member.copy(weight = 1)

    private companion object {
        const val MAX_HAND_OVERS = 8
        const val FIRST_HAND_OVER_DELAY_MS = 250L
        const val MAX_HAND_OVER_DELAY_MS = 8_000L
        val NOBODY = HomeMember("", 0)
    }
}
