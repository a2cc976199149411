package dev.lycheehill.fleet.membership

import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage
import kotlin.random.Random

/**
 * Failure detector that probes one random member per period, directly and then through other members, and suspects a member that does
 * not answer.
 *
 * The protocol is SWIM (Das et al. 2002) with suspicion and with the local health of Lifeguard (Dadgar et al. 2017).
 */
internal class FailureDetector(
    private val membership: Membership,
    private val settings: MembershipSettings,
    private val random: Random,
    private val outbox: Outbox,
    private val resetLink: (PeerAddress) -> Unit = {},
) {
    private val health = LocalHealth()
    private val suspicions = HashMap<String, Suspicion>()
    private val forwardedProbes = LinkedHashMap<Long, ForwardedProbe>()
    private var probe: Probe? = null
    private var nextProbeMs = 0L
    private var sequence = random.nextLong(Long.MAX_VALUE / 2)

    /** Multiplier of the probe and suspicion timeouts. */
    val healthFactor: Int get() = health.factor

    fun onTick(nowMs: Long) {
        probe?.let { advanceProbe(it, nowMs) }
        if (probe == null && nowMs >= nextProbeMs) startProbe(nowMs)
        expireSuspicions(nowMs)
    }

    fun onPing(
        from: PeerAddress,
        ping: PeerMessage.Ping,
        nowMs: Long,
    ) = outbox.send(from, PeerMessage.Ack(ping.sequence, membership.piggyback(nowMs)))

    fun onAck(
        ack: PeerMessage.Ack,
        nowMs: Long,
    ) {
        val forwardedProbe = forwardedProbes.remove(ack.sequence)
        if (forwardedProbe != null) {
            outbox.send(forwardedProbe.to, PeerMessage.Ack(forwardedProbe.sequence, membership.piggyback(nowMs)))
            return
        }
        if (probe?.sequence != ack.sequence) return
        probe = null
        health.record(succeeded = true)
    }

    fun onIndirectPing(
        from: PeerAddress,
        request: PeerMessage.IndirectPing,
        nowMs: Long,
    ) {
        forwardedProbes[++sequence] = ForwardedProbe(from, request.sequence, nowMs)
        while (forwardedProbes.size > MAX_FORWARDED_PROBES) forwardedProbes.remove(forwardedProbes.keys.first())
        outbox.send(PeerAddress(request.target), PeerMessage.Ping(sequence, membership.piggyback(nowMs)))
    }

    /** Starts or clears the suspicion of a member whose record changed. */
    fun onMemberChange(
        record: MemberRecord,
        nowMs: Long,
    ) {
        if (record.nodeId == membership.self.nodeId) return
        if (record.state == MemberState.SUSPECT) {
            suspicions[record.nodeId] = Suspicion(record.incarnation, nowMs)
        } else {
            suspicions.remove(record.nodeId)
        }
    }

    /** Discards the current probe and restarts all suspicion timeouts, since both may have expired only because the process was paused. */
    fun onPause(nowMs: Long) {
        probe = null
        nextProbeMs = nowMs + settings.probePeriodMs
        suspicions.replaceAll { _, suspicion -> Suspicion(suspicion.incarnation, nowMs) }
    }

    private fun startProbe(nowMs: Long) {
        nextProbeMs = nowMs + settings.probePeriodMs
        val target = membership.randomPeer() ?: return
        val started = Probe(target, ++sequence, nowMs)
        probe = started
        outbox.send(PeerAddress(target.controlAddress), PeerMessage.Ping(started.sequence, membership.piggyback(nowMs)))
    }

    private fun advanceProbe(
        current: Probe,
        nowMs: Long,
    ) {
        val waitedMs = nowMs - current.startedMs
        val timeoutMs = settings.probeTimeoutMs * health.factor
        if (!current.isIndirect && waitedMs >= timeoutMs) probeThroughOthers(current, nowMs)
        if (waitedMs >= settings.probePeriodMs * health.factor) failProbe(current, nowMs)
    }

    // The cached connection may be broken while new connections work, so the repeated direct probe opens a new one.
    private fun probeThroughOthers(
        current: Probe,
        nowMs: Long,
    ) {
        current.isIndirect = true
        val target = PeerAddress(current.target.controlAddress)
        resetLink(target)
        outbox.send(target, PeerMessage.Ping(current.sequence, membership.piggyback(nowMs)))
        membership
            .randomPeers(settings.indirectProbes + 1)
            .filter { it.nodeId != current.target.nodeId }
            .take(settings.indirectProbes)
            .forEach {
                val request = PeerMessage.IndirectPing(current.sequence, target.text, membership.piggyback(nowMs))
                outbox.send(PeerAddress(it.controlAddress), request)
            }
    }

    private fun failProbe(
        current: Probe,
        nowMs: Long,
    ) {
        probe = null
        health.record(succeeded = false)
        val known = membership.table.live[current.target.nodeId] ?: return
        if (!health.maySuspect || known.incarnation != current.target.incarnation || known.state == MemberState.SUSPECT) return
        if (known.state == MemberState.DRAINING) {
            suspicions.putIfAbsent(known.nodeId, Suspicion(known.incarnation, nowMs))
        } else {
            membership.accept(known.copy(state = MemberState.SUSPECT), nowMs)
        }
    }

    private fun expireSuspicions(nowMs: Long) {
        val limitMs = settings.suspicionMs * health.factor
        val expired = suspicions.filterValues { nowMs - it.sinceMs >= limitMs }
        expired.forEach { (nodeId, suspicion) ->
            suspicions.remove(nodeId)
            val known = membership.table.live[nodeId]
            if (known?.incarnation == suspicion.incarnation) membership.accept(known.copy(state = MemberState.GONE), nowMs)
        }
    }

    private class Probe(
        val target: MemberRecord,
        val sequence: Long,
        val startedMs: Long,
        var isIndirect: Boolean = false,
    )

    private class Suspicion(
        val incarnation: Long,
        val sinceMs: Long,
    )

    private class ForwardedProbe(
        val to: PeerAddress,
        val sequence: Long,
        val sinceMs: Long,
    )

    private companion object {
        const val MAX_FORWARDED_PROBES = 256
    }
}
