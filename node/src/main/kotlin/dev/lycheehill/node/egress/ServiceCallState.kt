package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.TargetInfo
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.hedging.HedgePolicy
import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.calls.progress.ProgressLimits
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** State of this node's calls to one service: targets, retry budget, hedging and latencies. Thread-safe. */
internal class ServiceCallState(
    val picker: TargetPicker,
    val retryPolicy: RetryPolicy,
    val hedgePolicy: HedgePolicy,
    private val latency: LatencyQuantile,
) {
    /** Statements of the backend servers of the service. */
    val targetStatements = TargetStatements()

    @Volatile
    private var lastTargets: List<MemberRecord>? = null

    @Volatile
    var lastUsedNanos: Long = 0

    /** Updates the picker if [targets] have changed. */
    fun refresh(
        targets: List<MemberRecord>,
        nowNanos: Long,
    ) {
        lastUsedNanos = nowNanos
        val last = lastTargets
        if (last === targets) return
        synchronized(this) {
            if (lastTargets != targets) picker.update(targets.map(::targetInfo), nowNanos)
            lastTargets = targets
        }
    }

    /** Returns the longest permitted time without a byte of the response, in milliseconds; at most [remainingMs]. */
    fun progressLimitMs(
        remainingMs: Long,
        idempotent: Boolean,
    ): Long = ProgressLimits.firstByteNanos(remainingMs * NANOS_PER_MILLI, idempotent, latency.p99Nanos) / NANOS_PER_MILLI

    private fun targetInfo(record: MemberRecord) =
        TargetInfo(
            id = record.nodeId,
            zone = record.zone,
            address = record.dataAddress,
            slots = record.slots,
            cold = record.state == MemberState.COLD,
            bootId = record.bootId,
        )
}
