package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.TargetInfo
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState

/** What this node has learned about one service. Thread-safe. */
internal class ServiceCalls(
    val picker: TargetPicker,
    val retries: RetryPolicy,
    val hedges: HedgeBudget?,
) {
    val latencies = LatencyQuantiles()

    @Volatile
    private var known: List<MemberRecord>? = null

    @Volatile
    var lastUsedNanos: Long = 0

    /** Gives [targets] to the picker when they have changed. */
    fun refresh(
        targets: List<MemberRecord>,
        nowNanos: Long,
    ) {
        lastUsedNanos = nowNanos
        val last = known
        if (last === targets) return
        synchronized(this) {
            if (known != targets) picker.update(targets.map(::infoOf), nowNanos)
            known = targets
        }
    }

    /** Longest time without a byte of the response to an idempotent call, at most [remainingMs]. */
    fun progressLimitMs(remainingMs: Long): Long {
        val p99Nanos = latencies.p99Nanos ?: return remainingMs
        return minOf(remainingMs, 3 * p99Nanos / NANOS_PER_MILLI + PROGRESS_MARGIN_MS)
    }

    private fun infoOf(record: MemberRecord) =
        TargetInfo(
            id = record.nodeId,
            zone = record.zone,
            address = record.dataAddress,
            slots = record.slots,
            cold = record.state == MemberState.COLD,
        )

    private companion object {
        const val PROGRESS_MARGIN_MS = 250L
    }
}
