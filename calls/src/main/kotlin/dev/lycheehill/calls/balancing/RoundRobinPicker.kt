package dev.lycheehill.calls.balancing

import java.util.concurrent.atomic.AtomicInteger

/** Picks the targets in turn and ignores load, zones and failures. Baseline with which the other pickers are compared. */
class RoundRobinPicker : TargetPicker {
    private val next = AtomicInteger()

    @Volatile
    private var handles: List<Handle> = emptyList()

    override fun update(
        targets: List<TargetInfo>,
        nowNanos: Long,
    ) {
        handles = targets.filter { it.weight > 0 }.map(::Handle)
    }

    override fun find(id: String): TargetHandle? = handles.firstOrNull { it.info.id == id }

    override fun pick(
        nowNanos: Long,
        tried: Collection<String>,
    ): TargetHandle? {
        val current = handles
        if (current.isEmpty()) return null
        val start = Math.floorMod(next.getAndIncrement(), current.size)
        for (step in current.indices) {
            val handle = current[(start + step) % current.size]
            if (handle.info.id !in tried) return handle
        }
        return current[start]
    }

    override fun onStart(
        target: TargetHandle,
        nowNanos: Long,
    ) = Unit

    override fun onFinish(
        target: TargetHandle,
        nowNanos: Long,
        latencyNanos: Long,
        outcome: AttemptOutcome,
        load: LoadReport?,
    ) = Unit

    private class Handle(
        override val info: TargetInfo,
    ) : TargetHandle
}
