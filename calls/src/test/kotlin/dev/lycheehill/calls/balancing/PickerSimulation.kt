package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.PriorityQueue
import java.util.Random

/** Discrete-event simulation of the calls of one node to targets that slow down in proportion when their slots are exceeded. */
internal class PickerSimulation(
    private val picker: TargetPicker,
    private val targets: List<TargetInfo>,
    seed: Long,
    private val callsPerSecond: Int = 340,
    private val serviceMs: (TargetInfo) -> Double = { 5.0 },
    private val outcome: (TargetInfo) -> AttemptOutcome = { AttemptOutcome.SUCCESS },
    private val report: (TargetInfo, Int) -> LoadReport? = { _, running -> LoadReport(running) },
) {
    private val random = Random(seed)
    private val running = HashMap<String, Int>()
    private val endings = PriorityQueue(compareBy<Ending> { it.atNanos })
    val latenciesMs = ArrayList<Double>()
    val calls = HashMap<String, Int>()

    fun run(
        fromMs: Long,
        untilMs: Long,
    ): PickerSimulation {
        calls.clear()
        latenciesMs.clear()
        picker.update(targets, fromMs * NANOS_PER_MILLI)
        var nowNanos = fromMs * NANOS_PER_MILLI
        while (nowNanos < untilMs * NANOS_PER_MILLI) {
            nowNanos += (-Math.log(1 - random.nextDouble()) * 1e9 / callsPerSecond).toLong()
            while (endings.isNotEmpty() && endings.peek().atNanos <= nowNanos) finish(endings.poll())
            begin(nowNanos)
        }
        return this
    }

    fun share(id: String): Double = calls.getOrDefault(id, 0) / calls.values.sum().toDouble()

    fun p99Ms(): Double = latenciesMs.sorted()[latenciesMs.size * 99 / 100]

    private fun begin(nowNanos: Long) {
        val handle = checkNotNull(picker.pick(nowNanos))
        picker.onStart(handle, nowNanos)
        val id = handle.info.id
        calls.merge(id, 1, Int::plus)
        val runningNow = running.merge(id, 1, Int::plus)!!
        val overload = maxOf(1.0, runningNow / handle.info.slots.toDouble())
        val ms = serviceMs(handle.info) * (0.5 + random.nextDouble()) * overload
        endings += Ending(nowNanos + (ms * NANOS_PER_MILLI).toLong(), nowNanos, handle)
    }

    private fun finish(ending: Ending) {
        val info = ending.handle.info
        val runningNow = running.merge(info.id, -1, Int::plus)!!
        val latency = ending.atNanos - ending.startNanos
        latenciesMs += latency / NANOS_PER_MILLI.toDouble()
        picker.onFinish(ending.handle, ending.atNanos, latency, outcome(info), report(info, runningNow))
    }

    private class Ending(
        val atNanos: Long,
        val startNanos: Long,
        val handle: TargetHandle,
    )
}
