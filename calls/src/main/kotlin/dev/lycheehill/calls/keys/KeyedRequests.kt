package dev.lycheehill.calls.keys

import dev.lycheehill.core.Verdict

/**
 * Decides whether a request with an idempotency key runs at this member, and records the keys of the requests that run here.
 *
 * Thread-safe: the lock of this object guards all state, so that a request is checked and recorded atomically. The parameters
 * `nowNanos` and `wallMs` are the current times of the monotonic clock and of the wall clock of this node.
 */
class KeyedRequests(
    private val selfId: String,
    private val bootId: Long,
    startWallMs: Long,
    private val settings: KeySettings = KeySettings(),
) {
    private val table = KeyTable(settings.maxKeys, startWallMs)
    private val responses = StoredResponses(settings.maxResponseBytes, settings.maxTotalResponseBytes)
    private val runningAttempts = HashMap<KeyHash, KeyToken>()
    private val domains = LinkedHashMap<String, KeyDomainMember>()
    private val domainIds = HashMap<String, Int>()
    private val handOverReceiver = HandOverReceiver()
    private var nextTransferId = 1L

    /** Number of recorded keys. */
    val size: Int get() = synchronized(this) { table.size }

    /**
     * Adds the next epoch of a domain in the order of the log. Must be called for each epoch of the domains of which this node is or
     * was a member, and of the domains for which this node may propose epochs. Other domains are not needed.
     */
    @Synchronized
    fun onEpoch(
        epoch: HomeEpoch,
        nowNanos: Long,
    ) = memberOf(epoch.domain).onEpoch(epoch, nowNanos)

    /** Checks a request and records the request if it may run. After [KeyDecision.Execute], the request must be run and [finish] called. */
    fun begin(
        domain: String,
        key: String,
        nowNanos: Long,
        wallMs: Long,
    ): KeyDecision {
        val hash = KeyHash.of(domain, key)
        val keyMs = KeyTime.ofKey(key)
        return synchronized(this) { decide(domain, hash, keyMs, nowNanos, wallMs) }
    }

    /** Ends an attempt. Stores [response] after [Verdict.RAN]. After [Verdict.NOT_RUN], a request with the key may run again. */
    @Synchronized
    fun finish(
        token: KeyToken,
        verdict: Verdict,
        wallMs: Long,
        response: ByteArray? = null,
    ) {
        if (runningAttempts[token.key] !== token) return
        runningAttempts.remove(token.key)
        when (verdict) {
            Verdict.NOT_RUN -> table.remove(token.key)
            Verdict.MAY_HAVE_RUN -> table.put(token.key, token.domain, KeyState.MAY_HAVE_RUN, wallMs)
            Verdict.RAN -> table.put(token.key, token.domain, KeyState.RAN, wallMs)
        }
        if (verdict == Verdict.RAN && response != null) responses.put(token.key, response)
    }

    /** Returns the voucher requests to send now, each with the ids of its receivers. Must be called about every 100 ms. */
    @Synchronized
    fun nextRequests(
        nowNanos: Long,
        wallMs: Long,
    ): List<Pair<VoucherRequest, Set<String>>> = domains.values.mapNotNull { it.nextRequest(nowNanos, wallMs) }

    /** Returns the reply to a voucher request of another member. */
    @Synchronized
    fun onRequest(request: VoucherRequest): VoucherReply =
        domains[request.domain]?.onRequest(request) ?: VoucherReply(request, selfId, bootId, seenEpoch = 0, granted = false)

    /** Processes the reply of another member to a voucher request of this member. */
    @Synchronized
    fun onReply(
        reply: VoucherReply,
        nowNanos: Long,
    ) {
        domains[reply.request.domain]?.onReply(reply, nowNanos)
    }

    /**
     * Returns whether this node may propose the epoch after [currentEpoch], the latest epoch of [domain] in the log, or 0 for none. A
     * node to which the epochs of the domain are not passed by [onEpoch] may not, because it does not know which epochs are sealed.
     */
    @Synchronized
    fun mayPropose(
        domain: String,
        currentEpoch: Long,
    ): Boolean = currentEpoch == 0L || domains[domain]?.mayPropose(currentEpoch) ?: false

    /** Removes keys older than the horizon. Must be called about once per minute. */
    @Synchronized
    fun expire(wallMs: Long) = table.expire(wallMs - settings.horizonMs - settings.boundMarginMs)

    /**
     * Returns the transfers to send now, in one or more parts for each new home that has not confirmed its transfer. Must be called
     * about every 100 ms; a transfer is repeated with increasing delays. Returns an empty list while this member does not know yet
     * which of the moved keys may have run before it became their home.
     */
    @Synchronized
    fun handOvers(nowNanos: Long): List<HandOverPart> =
        domains.values.flatMap { member -> member.handOversDue(nowNanos).flatMap { (epoch, boundMs) -> transfers(member, epoch, boundMs) } }

    /** Records that the new home has accepted all parts of the transfer to which [part] belongs. */
    @Synchronized
    fun onHandOverConfirmed(part: HandOverPart) {
        domains[part.domain]?.onHandOverConfirmed(part.epoch, part.to.id)
    }

    /** Stores the keys of a part of a hand-over. Returns false if the part was not accepted and must be sent again later. */
    @Synchronized
    fun onHandOver(part: HandOverPart): Boolean {
        val member = domains[part.domain]
        val isForSelf = part.to.id == selfId && part.to.bootId == bootId
        if (member == null || !isForSelf || (member.current?.number ?: 0) < part.epoch) return false
        val domainId = domainIds.getValue(part.domain)
        // A key that does not fit into the table would be unknown here, so the transfer must not count as complete.
        if (!part.keys.all { storeHanded(it, domainId) }) return false
        if (handOverReceiver.add(part)) member.onHandOver(part.epoch, part.from, part.boundMs)
        return true
    }

    private fun decide(
        domain: String,
        hash: KeyHash,
        keyMs: Long?,
        nowNanos: Long,
        wallMs: Long,
    ): KeyDecision {
        val member = domains[domain]
        if (member?.current == null) return refuse(KeyRefusal.NO_EPOCH, RETRY_AFTER_MS)
        table.state(hash)?.let { return decideRepeated(hash, it) }
        return when (val readiness = member.readiness(hash, nowNanos, wallMs)) {
            is HomeReadiness.NotHome -> KeyDecision.Refuse(Verdict.NOT_RUN, KeyRefusal.NOT_HOME, RETRY_AFTER_MS, readiness.homeId)
            is HomeReadiness.NoVouchers -> refuse(KeyRefusal.NO_VOUCHERS, RETRY_AFTER_MS)
            is HomeReadiness.PreviousHomeMayBeActive -> refuse(KeyRefusal.HOME_CHANGING, settings.leaseMs)
            is HomeReadiness.Ready -> decideByTime(domain, hash, keyMs, readiness.boundMs, wallMs)
        }
    }

    private fun decideByTime(
        domain: String,
        hash: KeyHash,
        keyMs: Long?,
        boundMs: Long?,
        wallMs: Long,
    ): KeyDecision {
        // A key whose time is too far ahead would be newer than the bound of the next home although it ran here.
        if (keyMs != null && keyMs > wallMs + settings.maxKeyLeadMs) return refuse(KeyRefusal.KEY_AHEAD, keyMs - wallMs)
        if (keyMs != null && keyMs < wallMs - settings.horizonMs) return refuseAsMayHaveRun(KeyRefusal.KEY_TOO_OLD)
        val isAfterBound = boundMs == null || if (keyMs != null) keyMs > boundMs else wallMs > boundMs + settings.horizonMs
        if (!isAfterBound) return refuseAsMayHaveRun(KeyRefusal.RECORD_LOST)
        val domainId = domainIds.getValue(domain)
        if (!table.put(hash, domainId, KeyState.RUNNING, wallMs)) return refuse(KeyRefusal.TABLE_FULL, settings.leaseMs)
        return KeyDecision.Execute(KeyToken(hash, domainId).also { runningAttempts[hash] = it })
    }

    private fun decideRepeated(
        hash: KeyHash,
        state: KeyState,
    ): KeyDecision =
        when (state) {
            KeyState.RUNNING -> refuseAsMayHaveRun(KeyRefusal.IN_PROGRESS)
            KeyState.MAY_HAVE_RUN -> refuseAsMayHaveRun(KeyRefusal.REPEATED)
            KeyState.RAN ->
                responses.get(hash)?.let { KeyDecision.Replay(it) }
                    ?: KeyDecision.Refuse(Verdict.RAN, KeyRefusal.REPEATED)
        }

    private fun storeHanded(
        handedKey: HandedKey,
        domainId: Int,
    ): Boolean {
        val known = table.state(handedKey.key)
        if (known == KeyState.RUNNING || known == KeyState.RAN) return true
        return table.put(handedKey.key, domainId, if (handedKey.ran) KeyState.RAN else KeyState.MAY_HAVE_RUN, handedKey.recordedWallMs)
    }

    private fun transfers(
        member: KeyDomainMember,
        epoch: HomeEpoch,
        boundMs: Long?,
    ): List<HandOverPart> {
        val keysByHome = member.unconfirmed(epoch).associateWith { ArrayList<HandedKey>() }
        table.forEach(domainIds.getValue(epoch.domain)) { key, state, recordedMs ->
            keysByHome[epoch.homeOf(key)]?.add(HandedKey(key, state == KeyState.RAN, recordedMs))
        }
        return keysByHome.flatMap { (to, keys) -> partsOf(epoch, to, keys, boundMs) }
    }

    private fun partsOf(
        epoch: HomeEpoch,
        to: HomeMember,
        keys: List<HandedKey>,
        boundMs: Long?,
    ): List<HandOverPart> {
        val chunks = keys.chunked(KEYS_PER_PART).ifEmpty { listOf(emptyList()) }
        val transferId = nextTransferId++
        val self = HomeMember(selfId, bootId)
        return chunks.mapIndexed { index, chunk ->
            HandOverPart(epoch.domain, epoch.number, self, to, transferId, index, chunks.size, boundMs, chunk)
        }
    }

    private fun memberOf(domain: String): KeyDomainMember =
        domains.getOrPut(domain) {
            domainIds[domain] = domainIds.size
            KeyDomainMember(domain, selfId, bootId, settings)
        }

    private fun refuse(
        reason: KeyRefusal,
        retryAfterMs: Long,
    ) = KeyDecision.Refuse(Verdict.NOT_RUN, reason, retryAfterMs)

    private fun refuseAsMayHaveRun(reason: KeyRefusal) = KeyDecision.Refuse(Verdict.MAY_HAVE_RUN, reason)

    private companion object {
        const val RETRY_AFTER_MS = 50L
        const val KEYS_PER_PART = 1_000
    }
}
