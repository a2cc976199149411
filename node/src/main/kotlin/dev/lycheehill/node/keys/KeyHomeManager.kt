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
 * [KeyedRequestCoordinator] of one node: follows the home epochs, keeps the vouchers fresh, hands keys over and proposes epochs.
 *
 * @param worker runs appends to the log, which block.
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
    private val epochs = ConcurrentHashMap<String, Versioned>()
    private val wanted = ConcurrentHashMap.newKeySet<String>()
    private var seen: Map<String, DomainHomes> = emptyMap()
    private var subscriptions = emptyList<Subscription>()

    /** Number of keys held. */
    val keyCount: Int get() = requests.size

    /** Starts to follow the epochs. To be called before the agent starts. */
    fun start() {
        agent.messenger.onRequest(KeyMessages.VOUCHER_TOPIC) { _, bytes -> onVouchers(bytes) }
        agent.messenger.onRequest(KeyMessages.HAND_OVER_TOPIC) { _, bytes -> onHandOver(bytes) }
        subscriptions =
            listOf(
                agent.onConfigChange(::onConfig),
                timers.every(TICK_MS, ::renew),
                timers.every(TRANSFER_MS, ::transfer),
                timers.every(PROPOSE_MS, ::propose),
                timers.every(EXPIRE_MS) { requests.expire(timers.wallMillis()) },
            )
    }

    /** Whether this node is the home of no key any more. True after a drain, when the next epochs are in the log. */
    val isReleased: Boolean
        get() =
            agent
                .foldState()
                .homes.values
                .none { homes -> homes.members.any { it.nodeId == self.nodeId && it.bootId == self.bootId } }

    /** Waits up to [limitMs] until the keys of a draining node have new homes and are handed over. Blocks. */
    fun awaitRelease(limitMs: Long) {
        val endMs = timers.nowMs() + limitMs
        while (!isReleased && timers.nowMs() < endMs) Thread.sleep(RELEASE_POLL_MS)
        if (requests.size > 0) Thread.sleep(HAND_OVER_MS)
    }

    /** Stops all timers. */
    fun stop() = subscriptions.forEach { it.cancel() }

    override fun homeOf(
        domain: String,
        key: String,
    ): String? {
        val homes = agent.foldState().homes[domain]
        if (homes == null) {
            if (wanted.size < MAX_WANTED) wanted.add(domain)
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

    // The epoch of a domain is built once and not on each call.
    private fun epochOf(
        domain: String,
        homes: DomainHomes,
    ): HomeEpoch {
        val known = epochs[domain]
        if (known != null && known.homes === homes) return known.epoch
        return homes.toEpoch(domain).also { epochs[domain] = Versioned(homes, it) }
    }

    private fun onConfig(state: FoldState) {
        if (state.homes === seen) return
        val now = timers.nowNanos()
        for ((domain, homes) in state.homes) {
            if (seen[domain] !== homes && concernsSelf(homes)) requests.onEpoch(homes.toEpoch(domain), now)
        }
        seen = state.homes
        wanted.removeAll(state.homes.keys)
    }

    private fun concernsSelf(homes: DomainHomes): Boolean =
        homes.members.any { it.nodeId == self.nodeId } || homes.previousMembers.any { it.nodeId == self.nodeId }

    private fun renew() {
        val byReceiver = HashMap<String, ArrayList<VoucherRequest>>()
        for ((request, receivers) in requests.nextRequests(timers.nowNanos(), timers.wallMillis())) {
            receivers.forEach { byReceiver.getOrPut(it) { ArrayList() } += request }
        }
        byReceiver.forEach { (nodeId, batch) -> ask(nodeId, VoucherBatch(batch)) }
    }

    private fun ask(
        nodeId: String,
        batch: VoucherBatch,
    ) {
        agent.messenger.request(nodeId, KeyMessages.VOUCHER_TOPIC, KeyMessages.encode(batch)).thenAccept { result ->
            val replies = (result as? Either.Right)?.value?.let(KeyMessages::replies) ?: return@thenAccept
            replies.replies.forEach { requests.onReply(it, timers.nowNanos()) }
        }
    }

    private fun onVouchers(bytes: ByteArray): ByteArray? =
        KeyMessages.batch(bytes)?.let { KeyMessages.encode(VoucherReplies(it.requests.map(requests::onRequest))) }

    private fun transfer() =
        requests
            .handOvers(timers.nowNanos())
            .groupBy { it.transferId }
            .values
            .forEach(::send)

    // A transfer counts only when the new home has taken each of its parts.
    private fun send(parts: List<HandOverPart>) {
        val taken = parts.map { part -> sent(part) }
        CompletableFuture.allOf(*taken.toTypedArray()).thenRun {
            if (taken.all { it.join() }) requests.onHandOverTaken(parts.first())
        }
    }

    private fun sent(part: HandOverPart): CompletableFuture<Boolean> =
        agent.messenger
            .request(part.to.id, KeyMessages.HAND_OVER_TOPIC, KeyMessages.encode(part))
            .thenApply { result -> (result as? Either.Right)?.value.contentEquals(KeyMessages.TAKEN) }

    private fun onHandOver(bytes: ByteArray): ByteArray? = KeyMessages.part(bytes)?.takeIf(requests::onHandOver)?.let { KeyMessages.TAKEN }

    private fun propose() {
        val records = proposer.proposals(agent.foldState(), agent.members(), wanted.toSet(), timers.nowMs())
        // A lost answer is harmless: the log accepts one record for each epoch.
        if (records.isNotEmpty()) worker.execute { records.forEach(::append) }
    }

    private fun append(record: HomeEpochRecord) {
        log.append(Streams.CONFIG, RecordCodec.encode(record))
    }

    private class Versioned(
        val homes: DomainHomes,
        val epoch: HomeEpoch,
    )

    private companion object {
        const val TICK_MS = 100L
        const val TRANSFER_MS = 250L
        const val PROPOSE_MS = 500L
        const val EXPIRE_MS = 60_000L
        const val RELEASE_POLL_MS = 50L

        // Several periods of the transfer timer, for transfers that are repeated once.
        const val HAND_OVER_MS = 1_000L

        // Callers choose no domain names, so only routes that exist can be wanted; the bound guards against very many.
        const val MAX_WANTED = 1_024
    }
}
