package dev.lycheehill.calls.keys

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * State of one member in one key domain: the epochs that the member has seen, the vouchers that it holds, and for each epoch
 * whether the previous homes have stopped executing requests. Not thread-safe.
 *
 * The home of a key is the only member that executes requests with the key. A voucher is a short lease: a member vouches that it
 * has seen no later epoch, and the home may execute while a majority of the members vouches for its epoch.
 *
 * A request with a key runs at most once, for these reasons:
 * 1. In each epoch, only the home of the key executes the request, and only while it holds vouchers of a majority of the members
 *    that were requested at most [KeySettings.leaseMs] ago.
 * 2. A member that has seen a later epoch grants no vouchers for earlier epochs. One lease after a majority of the members has
 *    seen the later epoch, the earlier home has no majority of valid vouchers. A restarted member has a new boot id and never
 *    vouches for the epochs of its former process. Its acknowledgements of later epochs therefore count, but vouchers with an
 *    unknown boot id do not.
 * 3. A new home waits until the vouchers of the earlier home have expired, or until the earlier home has handed over its keys. The
 *    earlier home stops executing requests before the hand-over.
 * 4. A home refuses a key whose time is ahead of its clock by more than the maximum key lead. The time of a key that the earlier
 *    home accepted is therefore later than the activation of the new home by at most the maximum clock skew plus the maximum key
 *    lead. Without a hand-over, the new home executes only requests whose key is newer than this bound.
 * 5. Epoch n + 1 is proposed only after epoch n has been sealed, that is, after a majority of the members of epoch n - 1 has
 *    stopped vouching for epoch n - 1 (see [mayPropose]). Therefore no home of an epoch before epoch n is active any more when a home
 *    of epoch n + 1 starts to execute requests.
 */
class KeyDomainMember(
    private val domain: String,
    private val selfId: String,
    private val bootId: Long,
    private val settings: KeySettings = KeySettings(),
) {
    private val epochs = ArrayDeque<EpochState>()

    // Epoch number and id of the new home.
    private val confirmedHandOvers = HashSet<Pair<Long, String>>()
    private var vouchers = VoucherSet(needed = 1, settings.leaseMs)

    // Time of the last request for vouchers.
    private var lastRequestNanos: Long? = null

    // Time of the last readiness query or new epoch. The vouchers of an unused domain are not renewed.
    private var lastUsedNanos = 0L
    private var lastHandOverNanos: Long? = null
    private var handOverDelayMs = FIRST_HAND_OVER_DELAY_MS

    /** Latest epoch seen; null before the first epoch. */
    val current: HomeEpoch? get() = epochs.lastOrNull()?.epoch

    /** Adds the next epoch of the log. Ignores an epoch that is not later than the current one. */
    fun onEpoch(
        epoch: HomeEpoch,
        nowNanos: Long,
    ) {
        val last = current
        if (last != null && epoch.number <= last.number) return
        // A reset discards the earlier epochs. After a gap, it is unknown which members were homes in the missing epochs.
        if (epoch.reset || last != null && epoch.number != last.number + 1) epochs.clear()
        val state = EpochState(epoch, settings)
        epochs.addLast(state)
        if (epochs.size > settings.maxEpochs) epochs.removeFirst()
        confirmedHandOvers.removeAll { (number, _) -> number <= epoch.number - MAX_HAND_OVER_EPOCHS }
        if (epoch.reset) state.seal(nowNanos)
        epochs.forEach { it.acknowledge(selfId, nowNanos) }
        // This member counts towards the majority without a voucher.
        vouchers = VoucherSet(needed = epoch.majority - 1, settings.leaseMs)
        lastRequestNanos = null
        lastUsedNanos = nowNanos
        lastHandOverNanos = null
        handOverDelayMs = FIRST_HAND_OVER_DELAY_MS
    }

    /** Returns the voucher request to send now and the ids of its receivers, or null if no request is due. */
    fun nextRequest(
        nowNanos: Long,
        wallMs: Long,
    ): Pair<VoucherRequest, Set<String>>? {
        val epoch = current ?: return null
        epochs.forEach { it.tryActivate(nowNanos, wallMs) }
        val last = lastRequestNanos
        if (last != null && nowNanos - last < settings.renewalPeriodMs * NANOS_PER_MILLI) return null
        if (epochs.none { it.isOpen } && nowNanos - lastUsedNanos > settings.idleTimeoutMs * NANOS_PER_MILLI) return null
        lastRequestNanos = nowNanos
        val receivers = epoch.members.mapTo(HashSet()) { it.id }
        epochs.filter { it.isOpen }.flatMap { it.epoch.previousMembers }.mapTo(receivers) { it.id }
        return VoucherRequest(domain, epoch.number, selfId, bootId, nowNanos, wallMs) to receivers - selfId
    }

    /** Returns the reply to a voucher request of another member. */
    fun onRequest(request: VoucherRequest): VoucherReply {
        val epoch = current
        val granted =
            epoch != null &&
                epoch.number == request.epoch &&
                isSelfMember(epoch) &&
                epoch.members.any { it.id == request.homeId && it.bootId == request.homeBootId }
        return VoucherReply(request, selfId, bootId, epoch?.number ?: 0, granted)
    }

    /** Processes the reply of another member to a voucher request of this member. */
    fun onReply(
        reply: VoucherReply,
        nowNanos: Long,
    ) {
        val isOwn = reply.request.homeId == selfId && reply.request.homeBootId == bootId
        if (!isOwn) return
        for (state in epochs) if (reply.seenEpoch >= state.epoch.number) state.acknowledge(reply.memberId, nowNanos)
        val epoch = current ?: return
        val isMember = epoch.members.any { it.id == reply.memberId && it.bootId == reply.memberBootId }
        if (reply.granted && reply.request.epoch == epoch.number && isMember) vouchers.add(reply.memberId, reply.request)
    }

    /** Returns whether this node may propose the epoch after [currentEpoch], which must be the latest epoch seen and sealed. */
    fun mayPropose(currentEpoch: Long): Boolean = epochs.lastOrNull()?.let { it.epoch.number == currentEpoch && it.isSealed } ?: false

    /**
     * Records the complete hand-over of [from] at the start of [epoch], with the bound [HandOverPart.boundMs]. Returns false if this
     * member does not belong to [epoch] or does not remember it, or if [from] is not a member of the previous epoch.
     */
    internal fun onHandOver(
        epoch: Long,
        from: HomeMember,
        boundMs: Long?,
    ): Boolean {
        val state = epochs.firstOrNull { it.epoch.number == epoch && isSelfMember(it.epoch) } ?: return false
        if (state.epoch.previousMembers.none { it.id == from.id && it.bootId == from.bootId }) return false
        state.handOver(withoutWeight(from), boundMs)
        return true
    }

    /** Returns whether this member may execute requests with [key] now. */
    internal fun readiness(
        key: KeyHash,
        nowNanos: Long,
        wallMs: Long,
    ): HomeReadiness {
        lastUsedNanos = nowNanos
        val home = current?.homeOf(key)
        if (home == null || !isSelf(home)) return HomeReadiness.NotHome(home?.id)
        if (!vouchers.isValid(nowNanos, wallMs)) return HomeReadiness.NoVouchers
        return readinessAsHome(key, nowNanos, wallMs)
    }

    /**
     * Returns the recent epochs whose hand-over by this member is due, each with the bound [HandOverPart.boundMs]: the time in
     * milliseconds since the Unix epoch up to which this member may lack keys that ran before it became their home, or null if this
     * member lacks no keys.
     */
    internal fun handOversDue(nowNanos: Long): List<Pair<HomeEpoch, Long?>> {
        val last = lastHandOverNanos
        if (last != null && nowNanos - last < handOverDelayMs * NANOS_PER_MILLI) return emptyList()
        val due =
            epochs
                .takeLast(MAX_HAND_OVER_EPOCHS)
                .filter { it.epoch.previousMembers.any(::isSelf) && unconfirmed(it.epoch).isNotEmpty() }
                .mapNotNull { state -> (readinessToHandOver(state.epoch) as? HomeReadiness.Ready)?.let { state.epoch to it.boundMs } }
        if (due.isNotEmpty()) {
            lastHandOverNanos = nowNanos
            handOverDelayMs = minOf(MAX_HAND_OVER_DELAY_MS, handOverDelayMs * 2)
        }
        return due
    }

    /** Returns the members that have not confirmed the hand-over at the start of [epoch]. */
    internal fun unconfirmed(epoch: HomeEpoch): List<HomeMember> =
        epoch.members.filter { it.id != selfId && it.weight > 0 && (epoch.number to it.id) !in confirmedHandOvers }

    /** Records that the member [toId] has accepted the complete hand-over at the start of [epoch]. */
    internal fun onHandOverConfirmed(
        epoch: Long,
        toId: String,
    ) {
        confirmedHandOvers += epoch to toId
    }

    // Returns Ready with the bound of the hand-over at the start of the epoch, or PreviousHomeMayBeActive if the bound is not known yet.
    private fun readinessToHandOver(epoch: HomeEpoch): HomeReadiness {
        val earlier = epochs.filter { it.epoch.number < epoch.number }
        if (earlier.lastOrNull()?.epoch?.number != epoch.number - 1) return HomeReadiness.PreviousHomeMayBeActive
        var bound: Long? = null
        for (state in earlier.filter { isSelfMember(it.epoch) }) {
            // This member has all keys of the remembered epochs in which it was their home, but may lack keys of earlier epochs.
            val homesBefore = state.epoch.previousMembers.filter { state === earlier.first() || !isSelf(it) }
            for (from in homesBefore) {
                val ready =
                    state.readinessForKeysOf(withoutWeight(from)) as? HomeReadiness.Ready ?: return HomeReadiness.PreviousHomeMayBeActive
                bound = listOfNotNull(bound, ready.boundMs).maxOrNull()
            }
        }
        return HomeReadiness.Ready(bound)
    }

    // Returns the readiness as of the epoch in which this member became the home of the key, which is searched for backwards.
    private fun readinessAsHome(
        key: KeyHash,
        nowNanos: Long,
        wallMs: Long,
    ): HomeReadiness {
        for (index in epochs.indices.reversed()) {
            val state = epochs[index]
            val from = state.epoch.previousHomeOf(key)
            if (from == null && state.epoch.previousMembers.isEmpty()) return HomeReadiness.Ready(null)
            if (from != null && isSelf(from) && index > 0) continue
            state.tryActivate(nowNanos, wallMs)
            // If the key had no home in the previous epoch, no member hands it over, and only the activation time counts.
            return state.readinessForKeysOf(withoutWeight(from ?: NO_MEMBER))
        }
        return HomeReadiness.PreviousHomeMayBeActive
    }

    private fun isSelfMember(epoch: HomeEpoch): Boolean = epoch.members.any(::isSelf)

    private fun isSelf(member: HomeMember): Boolean = member.id == selfId && member.bootId == bootId

    // Sets the same weight for all members, so that members which differ only in the weight are equal.
    private fun withoutWeight(member: HomeMember): HomeMember = member.copy(weight = 1)

    private companion object {
        const val MAX_HAND_OVER_EPOCHS = 8
        const val FIRST_HAND_OVER_DELAY_MS = 250L
        const val MAX_HAND_OVER_DELAY_MS = 8_000L
        val NO_MEMBER = HomeMember("", 0)
    }
}
