package dev.lycheehill.fleet.messenger

import arrow.core.Either
import dev.lycheehill.core.Verdict
import dev.lycheehill.fleet.link.Link
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.Membership
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireBroadcast
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor
import kotlin.random.Random

/** [FleetMessenger] that sends broadcasts by gossip and requests by the link. The state is confined to the control thread. */
internal class Messenger(
    private val membership: Membership,
    private val link: Link,
    private val control: Executor,
    private val random: Random,
    private val nowMs: () -> Long,
) : FleetMessenger {
    private val broadcastHandlers = ConcurrentHashMap<String, (ByteArray) -> Unit>()
    private val requestHandlers = ConcurrentHashMap<String, (String, ByteArray) -> ByteArray?>()
    private val seenIds = LinkedHashMap<String, Long>()
    private val pending = HashMap<Long, Pending>()
    private var stopped = false

    override fun broadcast(
        topic: String,
        bytes: ByteArray,
        expiresInMs: Long,
    ): Boolean {
        if (bytes.size > FleetMessenger.MAX_BROADCAST_BYTES) return false
        control.execute { onBroadcastReceived(WireBroadcast(random.nextLong().toULong().toString(ID_RADIX), topic, bytes, expiresInMs)) }
        return true
    }

    override fun onBroadcast(
        topic: String,
        handler: (ByteArray) -> Unit,
    ) {
        broadcastHandlers[topic] = handler
    }

    override fun onRequest(
        topic: String,
        handler: (String, ByteArray) -> ByteArray?,
    ) {
        requestHandlers[topic] = handler
    }

    override fun request(
        nodeId: String,
        topic: String,
        bytes: ByteArray,
        timeoutMs: Long,
    ): CompletableFuture<Either<MessengerError, ByteArray>> {
        val result = CompletableFuture<Either<MessengerError, ByteArray>>()
        control.execute { send(nodeId, topic, bytes, timeoutMs, result) }
        return result
    }

    /** Delivers a broadcast and gossips it further, unless the broadcast is known, expired or too long. */
    fun onBroadcastReceived(wireBroadcast: WireBroadcast) {
        val now = nowMs()
        if (wireBroadcast.expiresInMs !in 1..MAX_EXPIRY_MS || wireBroadcast.bytes.size > FleetMessenger.MAX_BROADCAST_BYTES) return
        val expiresAtMs = now + wireBroadcast.expiresInMs
        // An id is kept beyond the expiry of its broadcast, since copies in transit carry slightly different remaining times.
        if (seenIds.putIfAbsent(wireBroadcast.id, expiresAtMs + SEEN_ID_MARGIN_MS) != null) return
        while (seenIds.size > MAX_SEEN_IDS) seenIds.remove(seenIds.keys.first())
        membership.gossip(wireBroadcast, expiresAtMs)
        broadcastHandlers[wireBroadcast.topic]?.let { handler -> runCatching { handler(wireBroadcast.bytes) } }
    }

    /** Answers a request of another node. */
    fun onRequestMessage(
        from: PeerAddress,
        message: PeerMessage.Request,
    ) {
        val answer = requestHandlers[message.topic]?.let { runCatching { it(message.nodeId, message.bytes) }.getOrNull() }
        link.send(from, PeerMessage.Response(message.id, answer))
    }

    /** Completes the pending request that [message] answers. */
    fun onResponse(message: PeerMessage.Response) {
        val bytes = message.bytes
        val result = bytes?.let { Either.Right(it) } ?: error(MessengerError.Kind.REFUSED, Verdict.MAY_HAVE_RUN)
        pending.remove(message.id)?.result?.complete(result)
    }

    /** Ends overdue requests with a timeout, and removes expired broadcast ids. */
    fun onTick(nowMs: Long) {
        val overdue = pending.filterValues { it.deadlineMs <= nowMs }
        overdue.forEach { (id, request) ->
            pending.remove(id)
            request.result.complete(error(MessengerError.Kind.TIMEOUT, Verdict.MAY_HAVE_RUN))
        }
        seenIds.values.removeIf { it <= nowMs }
    }

    /** Ends all pending requests with an error, and refuses new ones. */
    fun stop() {
        stopped = true
        pending.values.forEach { it.result.complete(error(MessengerError.Kind.STOPPED, Verdict.MAY_HAVE_RUN)) }
        pending.clear()
    }

    private fun send(
        nodeId: String,
        topic: String,
        bytes: ByteArray,
        timeoutMs: Long,
        result: CompletableFuture<Either<MessengerError, ByteArray>>,
    ) {
        val self = membership.self
        if (stopped) {
            result.complete(error(MessengerError.Kind.STOPPED, Verdict.NOT_RUN))
            return
        }
        if (nodeId == self.nodeId) {
            val answer = requestHandlers[topic]?.let { runCatching { it(nodeId, bytes) }.getOrNull() }
            result.complete(answer?.let { Either.Right(it) } ?: error(MessengerError.Kind.REFUSED, Verdict.MAY_HAVE_RUN))
            return
        }
        val address = membership.table.live[nodeId]?.controlAddress
        if (address == null) {
            result.complete(error(MessengerError.Kind.UNKNOWN_NODE, Verdict.NOT_RUN))
            return
        }
        val id = random.nextLong()
        pending[id] = Pending(result, nowMs() + timeoutMs)
        if (link.send(PeerAddress(address), PeerMessage.Request(id, self.nodeId, topic, bytes))) return
        pending.remove(id)
        result.complete(error(MessengerError.Kind.NOT_SENT, Verdict.NOT_RUN))
    }

    private fun error(
        kind: MessengerError.Kind,
        verdict: Verdict,
    ): Either<MessengerError, ByteArray> = Either.Left(MessengerError(kind, verdict))

    private class Pending(
        val result: CompletableFuture<Either<MessengerError, ByteArray>>,
        val deadlineMs: Long,
    )

    private companion object {
        const val ID_RADIX = 36
        const val MAX_SEEN_IDS = 4_096
        const val MAX_EXPIRY_MS = 3_600_000L
        const val SEEN_ID_MARGIN_MS = 60_000L
    }
}
