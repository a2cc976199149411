package dev.lycheehill.node.keys

import arrow.core.Either
import dev.lycheehill.calls.keys.HandOverPart
import dev.lycheehill.calls.keys.HomeEpoch
import dev.lycheehill.calls.keys.KeyDecision
import dev.lycheehill.calls.keys.KeyHash
import dev.lycheehill.calls.keys.KeySettings
import dev.lycheehill.calls.keys.KeyToken
import dev.lycheehill.calls.keys.KeyedRequests
import dev.lycheehill.calls.keys.VoucherRequest
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.home.DomainHomes
import dev.lycheehill.config.log.HomeEpochRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.config.log.Streams
import dev.lycheehill.core.Verdict
import dev.lycheehill.core.time.Subscription
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.platformlog.PlatformLog
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor

/**
 * [KeyedRequestCoordinator] of one node. It follows the home epochs in the log, renews vouchers, hands keys over to new homes
 * and proposes epochs.
 *
 * @param worker runs the appends to the log, which block.
 */
class KeyHomeManager(
    private val agent: FleetAgent,
    private val log: PlatformLog,
    private val timers: TimerService,
    private val worker: Executor,
    settings: KeySettings = KeySettings(),
) : KeyedRequestCoordinator {
    private val self = agent.self
    private val requests = KeyedRequests(self.nodeId, self.bootId, timers.wallMillis(), settings)
    private val proposer = HomeProposer(self.nodeId, requests::mayPropose)
    private val cachedEpochs = ConcurrentHashMap<String, CachedEpoch>()
    private val requestedDomains = ConcurrentHashMap.newKeySet<String>()
    private var appliedHomes: Map<String, DomainHomes> = emptyMap()
    private var subscriptions = emptyList<Subscription>()

    /** Number of idempotency keys that this node holds. */
    val keyCount: Int get() = requests.size

    /** Starts to follow the home epochs. Must be called before [agent] starts. */
    fun start() {
        agent.messenger.onRequest(KeyMessages.VOUCHER_TOPIC) { _, bytes -> onVoucherRequests(bytes) }
        agent.messenger.onRequest(KeyMessages.HAND_OVER_TOPIC) { _, bytes -> onHandOver(bytes) }
        subscriptions =
            listOf(
                agent.onConfigChange(::onConfig),
                timers.every(RENEW_PERIOD_MS, ::renewVouchers),
                timers.every(TRANSFER_PERIOD_MS, ::sendHandOvers),
                timers.every(PROPOSE_PERIOD_MS, ::propose),
                timers.every(EXPIRE_PERIOD_MS) { requests.expire(timers.wallMillis()) },
            )
    }

    /** Whether this node is the home of no key. Becomes true after a drain, once the next epochs are in the log. */
    val isReleased: Boolean
        get() =
            agent
                .foldState()
                .homes.values
                .none { homes -> homes.members.any { it.nodeId == self.nodeId && it.bootId == self.bootId } }

    /**
     * Waits up to [limitMs] until the keys of this draining node have new homes. If this node holds keys, waits for a fixed
     * further time for their hand-over. Blocks the calling thread.
     */
    fun awaitRelease(limitMs: Long) {
        val endMs = timers.nowMs() + limitMs
        while (!isReleased && timers.nowMs() < endMs) Thread.sleep(RELEASE_POLL_PERIOD_MS)
        if (requests.size > 0) Thread.sleep(HAND_OVER_WAIT_MS)
    }

    /** Cancels all timers and stops to follow the home epochs. */
    fun stop() = subscriptions.forEach { it.cancel() }

    override fun homeOf(
        domain: String,
        key: String,
    ): String? {
        val homes = agent.foldState().homes[domain]
        if (homes == null) {
            if (requestedDomains.size < MAX_REQUESTED_DOMAINS) requestedDomains.add(domain)
            return null
        }
        return epochOf(domain, homes).homeOf(KeyHash.of(domain, key))?.id
    }

    override fun begin(
        domain: String,
        key: String,
    ): KeyDecision = requests.begin(domain, key, timers.nowNanos(), timers.wallMillis())

    override fun finish(
        token: KeyToken,
        verdict: Verdict,
        response: StoredResponse?,
    ) = requests.finish(token, verdict, timers.wallMillis(), response?.encode())

    // The epoch of a domain is converted once and not for each call.
    private fun epochOf(
        domain: String,
        homes: DomainHomes,
    ): HomeEpoch {
        val cached = cachedEpochs[domain]
        if (cached != null && cached.homes === homes) return cached.epoch
        return homes.toEpoch(domain).also { cachedEpochs[domain] = CachedEpoch(homes, it) }
    }

    private fun onConfig(state: FoldState) {
        if (state.homes === appliedHomes) return
        val now = timers.nowNanos()
        for ((domain, homes) in state.homes) {
            if (appliedHomes[domain] !== homes && includesSelf(homes)) requests.onEpoch(homes.toEpoch(domain), now)
        }
        appliedHomes = state.homes
        requestedDomains.removeAll(state.homes.keys)
    }

    private fun includesSelf(homes: DomainHomes): Boolean =
        homes.members.any { it.nodeId == self.nodeId } || homes.previousMembers.any { it.nodeId == self.nodeId }

    private fun renewVouchers() {
        val byReceiver = HashMap<String, ArrayList<VoucherRequest>>()
        for ((request, receivers) in requests.nextRequests(timers.nowNanos(), timers.wallMillis())) {
            receivers.forEach { byReceiver.getOrPut(it) { ArrayList() } += request }
        }
        byReceiver.forEach { (nodeId, batch) -> requestVouchers(nodeId, VoucherBatch(batch)) }
    }

    private fun requestVouchers(
        nodeId: String,
        batch: VoucherBatch,
    ) {
        agent.messenger.request(nodeId, KeyMessages.VOUCHER_TOPIC, KeyMessages.encode(batch)).thenAccept { result ->
            val replies = (result as? Either.Right)?.value?.let(KeyMessages::decodeReplies) ?: return@thenAccept
            replies.replies.forEach { requests.onReply(it, timers.nowNanos()) }
        }
    }

    private fun onVoucherRequests(bytes: ByteArray): ByteArray? =
        KeyMessages.decodeBatch(bytes)?.let { KeyMessages.encode(VoucherReplies(it.requests.map(requests::onRequest))) }

    private fun sendHandOvers() =
        requests
            .handOvers(timers.nowNanos())
            .groupBy { it.transferId }
            .values
            .forEach(::sendTransfer)

    // A transfer is complete only when the new home has accepted each of its parts.
    private fun sendTransfer(parts: List<HandOverPart>) {
        val results = parts.map { part -> sendPart(part) }
        CompletableFuture.allOf(*results.toTypedArray()).thenRun {
            if (results.all { it.join() }) requests.onHandOverConfirmed(parts.first())
        }
    }

    private fun sendPart(part: HandOverPart): CompletableFuture<Boolean> =
        agent.messenger
            .request(part.to.id, KeyMessages.HAND_OVER_TOPIC, KeyMessages.encode(part))
            .thenApply { result -> (result as? Either.Right)?.value.contentEquals(KeyMessages.ACCEPTED) }

    private fun onHandOver(bytes: ByteArray): ByteArray? =
        KeyMessages.decodePart(bytes)?.takeIf(requests::onHandOver)?.let { KeyMessages.ACCEPTED }

    private fun propose() {
        val records = proposer.proposals(agent.foldState(), agent.members(), requestedDomains.toSet(), timers.nowMs())
        // A lost response of the log is harmless: a repeated proposal is refused, because the log accepts one record per epoch.
        if (records.isNotEmpty()) worker.execute { records.forEach(::append) }
    }

    private fun append(record: HomeEpochRecord) {
        log.append(Streams.CONFIG, RecordCodec.encode(record))
    }

    private class CachedEpoch(
        val homes: DomainHomes,
        val epoch: HomeEpoch,
    )

    private companion object {
        const val RENEW_PERIOD_MS = 100L
        const val TRANSFER_PERIOD_MS = 250L
        const val PROPOSE_PERIOD_MS = 500L
        const val EXPIRE_PERIOD_MS = 60_000L
        const val RELEASE_POLL_PERIOD_MS = 50L

        // Several periods of the transfer timer, which allow for one repetition of a transfer.
        const val HAND_OVER_WAIT_MS = 1_000L

        // Callers cannot choose domain names, so only domains of existing routes occur. The limit guards against very many routes.
        const val MAX_REQUESTED_DOMAINS = 1_024
    }
}
