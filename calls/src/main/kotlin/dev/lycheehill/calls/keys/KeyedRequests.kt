package dev.lycheehill.calls.keys

import dev.lycheehill.core.Verdict

/**
 * Decides at a member whether a request with an idempotency key runs there. Thread-safe; all state is guarded by the
 * lock of this object, so that a request is checked and recorded in one step.
 *
 * Times are passed in: `nowNanos` is the monotonic clock and `wallMs` the wall clock of this node.
 */
class KeyedRequests(
    private val selfId: String,
    private val bootId: Long,
    startWallMs: Long,
    private val settings: KeySettings = KeySettings(),
) {
    private val table = KeyTable(settings.maxKeys, startWallMs)
    private val responses = StoredResponses(settings.maxResponseBytes, settings.maxTotalResponseBytes)
    private val running = HashMap<KeyHash, KeyToken>()
    private val homes = LinkedHashMap<String, KeyDomainMember>()
    private val domainIds = HashMap<String, Int>()
    private val receiver = HandOverReceiver()
    private var nextTransferId = 1L

    /** Number of keys held. */
    val size: Int get() = synchronized(this) { table.size }

    /**
     * Takes the next epoch of the log for its domain, in order. To be called for each epoch of the domains of which this
     * node is or was a member, or for which it may propose; others are not needed.
     */
    @Synchronized
    fun onEpoch(
        epoch: HomeEpoch,
        nowNanos: Long,
    ) = homeOf(epoch.domain).onEpoch(epoch, nowNanos)

    /** Checks a request and, if it may run, records it. The caller then runs it and calls [finish]. */
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

    /** Ends an attempt. [response] is stored after [Verdict.RAN]; after [Verdict.NOT_RUN] the key may run again. */
    @Synchronized
    fun finish(
        token: KeyToken,
        verdict: Verdict,
        wallMs: Long,
        response: ByteArray? = null,
    ) {
        if (running[token.key] !== token) return
        running.remove(token.key)
        when (verdict) {
            Verdict.NOT_RUN -> table.remove(token.key)
            Verdict.MAY_HAVE_RUN -> table.put(token.key, token.domain, KeyState.MAY_HAVE_RUN, wallMs)
            Verdict.RAN -> table.put(token.key, token.domain, KeyState.RAN, wallMs)
        }
        if (verdict == Verdict.RAN && response != null) responses.put(token.key, response)
    }

    /** Voucher requests to send now, with their receivers. To be called about every 100 ms. */
    @Synchronized
    fun nextRequests(
        nowNanos: Long,
        wallMs: Long,
    ): List<Pair<VoucherRequest, Set<String>>> = homes.values.mapNotNull { it.nextRequest(nowNanos, wallMs) }

    /** Answers another member's request. */
    @Synchronized
    fun onRequest(request: VoucherRequest): VoucherReply =
        homes[request.domain]?.onRequest(request) ?: VoucherReply(request, selfId, bootId, seenEpoch = 0, granted = false)

    /** Takes another member's answer. */
    @Synchronized
    fun onReply(
        reply: VoucherReply,
        nowNanos: Long,
    ) {
        homes[reply.request.domain]?.onReply(reply, nowNanos)
    }

    /**
     * Whether this node may propose the epoch after [currentEpoch], the current one of [domain] in the log (0 for none). A
     * node that does not follow the domain by [onEpoch] may not, because it does not know what is sealed.
     */
    @Synchronized
    fun mayPropose(
        domain: String,
        currentEpoch: Long,
    ): Boolean = currentEpoch == 0L || homes[domain]?.mayPropose(currentEpoch) ?: false

    /** Forgets keys older than the horizon. To be called about once a minute. */
    @Synchronized
    fun expire(wallMs: Long) = table.expire(wallMs - settings.horizonMs - settings.boundMarginMs)

    /**
     * Transfers to send now, one or more parts for each new home that has not confirmed its transfer. To be called about
     * every 100 ms; a transfer is repeated after increasing times. Empty while this member cannot vouch for its own
     * knowledge.
     */
    @Synchronized
    fun handOvers(nowNanos: Long): List<HandOverPart> =
        homes.values.flatMap { home -> home.handOversDue(nowNanos).flatMap { (epoch, boundMs) -> transfers(home, epoch, boundMs) } }

    /** Records that the new home has taken all parts of the transfer that [part] belongs to. */
    @Synchronized
    fun onHandOverTaken(part: HandOverPart) {
        homes[part.domain]?.onHandOverTaken(part.epoch, part.to.id)
    }

    /** Takes a part of a hand-over. Returns false if it could not be taken and should be sent again later. */
    @Synchronized
    fun onHandOver(part: HandOverPart): Boolean {
        val home = homes[part.domain]
        val isForSelf = part.to.id == selfId && part.to.bootId == bootId
        if (home == null || !isForSelf || (home.current?.number ?: 0) < part.epoch) return false
        val domainId = domainIds.getValue(part.domain)
        // A key that does not fit would be unknown here, so the transfer must not count as complete.
        if (!part.keys.all { take(it, domainId) }) return false
        if (receiver.add(part)) home.onHandOver(part.epoch, part.from, part.boundMs)
        return true
    }

    private fun decide(
        domain: String,
        hash: KeyHash,
        keyMs: Long?,
        nowNanos: Long,
        wallMs: Long,
    ): KeyDecision {
        val home = homes[domain]
        if (home?.current == null) return refuse(KeyRefusal.NO_EPOCH, RETRY_MS)
        table.state(hash)?.let { return repeated(hash, it) }
        return when (val standing = home.standing(hash, nowNanos, wallMs)) {
            is HomeReadiness.NotHome -> KeyDecision.Refuse(Verdict.NOT_RUN, KeyRefusal.NOT_HOME, RETRY_MS, standing.homeId)
            is HomeReadiness.NoVouchers -> refuse(KeyRefusal.NO_VOUCHERS, RETRY_MS)
            is HomeReadiness.Waiting -> refuse(KeyRefusal.HOME_CHANGING, settings.leaseMs)
            is HomeReadiness.Ready -> judgeTime(domain, hash, keyMs, standing.boundMs, wallMs)
        }
    }

    private fun judgeTime(
        domain: String,
        hash: KeyHash,
        keyMs: Long?,
        boundMs: Long?,
        wallMs: Long,
    ): KeyDecision {
        // A key from the future would pass the bound of the next home although it ran here.
        if (keyMs != null && keyMs > wallMs + settings.maxKeyLeadMs) return refuse(KeyRefusal.KEY_AHEAD, keyMs - wallMs)
        if (keyMs != null && keyMs < wallMs - settings.horizonMs) return mayHaveRun(KeyRefusal.KEY_TOO_OLD)
        val isNewer = boundMs == null || if (keyMs != null) keyMs > boundMs else wallMs > boundMs + settings.horizonMs
        if (!isNewer) return mayHaveRun(KeyRefusal.RECORD_LOST)
        val domainId = domainIds.getValue(domain)
        if (!table.put(hash, domainId, KeyState.RUNNING, wallMs)) return refuse(KeyRefusal.TABLE_FULL, settings.leaseMs)
        return KeyDecision.Execute(KeyToken(hash, domainId).also { running[hash] = it })
    }

    private fun repeated(
        hash: KeyHash,
        state: KeyState,
    ): KeyDecision =
        when (state) {
            KeyState.RUNNING -> mayHaveRun(KeyRefusal.IN_PROGRESS)
            KeyState.MAY_HAVE_RUN -> mayHaveRun(KeyRefusal.REPEATED)
            KeyState.RAN ->
                responses.get(hash)?.let { KeyDecision.Replay(it) }
                    ?: KeyDecision.Refuse(Verdict.RAN, KeyRefusal.REPEATED)
        }

    private fun take(
        handed: HandedKey,
        domainId: Int,
    ): Boolean {
        val known = table.state(handed.key)
        if (known == KeyState.RUNNING || known == KeyState.RAN) return true
        return table.put(handed.key, domainId, if (handed.ran) KeyState.RAN else KeyState.MAY_HAVE_RUN, handed.recordedWallMs)
    }

    private fun transfers(
        home: KeyDomainMember,
        epoch: HomeEpoch,
        boundMs: Long?,
    ): List<HandOverPart> {
        val byHome = home.unconfirmed(epoch).associateWith { ArrayList<HandedKey>() }
        table.forEach(domainIds.getValue(epoch.domain)) { key, state, recorded ->
            byHome[epoch.homeOf(key)]?.add(HandedKey(key, state == KeyState.RAN, recorded))
        }
        return byHome.flatMap { (to, keys) -> partsOf(epoch, to, keys, boundMs) }
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

    private fun homeOf(domain: String): KeyDomainMember =
        homes.getOrPut(domain) {
            domainIds[domain] = domainIds.size
            KeyDomainMember(domain, selfId, bootId, settings)
        }

    private fun refuse(
        reason: KeyRefusal,
        retryAfterMs: Long,
    ) = KeyDecision.Refuse(Verdict.NOT_RUN, reason, retryAfterMs)

    private fun mayHaveRun(reason: KeyRefusal) = KeyDecision.Refuse(Verdict.MAY_HAVE_RUN, reason)

    private companion object {
        const val RETRY_MS = 50L
        const val KEYS_PER_PART = 1_000
    }
}
