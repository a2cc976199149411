package dev.lycheehill.calls.bench

import com.sun.management.ThreadMXBean
import dev.lycheehill.calls.admission.AdaptiveAdmission
import dev.lycheehill.calls.admission.AdaptiveAdmissionSettings
import dev.lycheehill.calls.admission.AdmissionCall
import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.admission.AdmissionListener
import dev.lycheehill.calls.admission.AdmissionResult
import dev.lycheehill.calls.admission.CallCost
import dev.lycheehill.calls.admission.CallPriority
import dev.lycheehill.calls.admission.NoLimitAdmission
import dev.lycheehill.calls.balancing.AttemptOutcome
import dev.lycheehill.calls.balancing.LoadAwarePicker
import dev.lycheehill.calls.balancing.LoadReport
import dev.lycheehill.calls.balancing.RoundRobinPicker
import dev.lycheehill.calls.balancing.TargetInfo
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.verdict.Deadline
import java.lang.management.ManagementFactory

/** Benchmark that prints the time and the allocated bytes per call of all decisions: pick, start, admission and both ends. */
object DecisionCost {
    private const val SEED = 20_261_204L
    private const val CALLS = 2_000_000
    private const val ROUNDS = 5
    private val listener =
        object : AdmissionListener {
            override fun onStart(
                call: AdmissionCall,
                nowNanos: Long,
            ) = Unit

            override fun onDropped(
                call: AdmissionCall,
                rejection: AdmissionResult.Rejected,
            ) = Unit
        }

    @JvmStatic
    fun main(args: Array<String>) {
        println("seed=$SEED calls=$CALLS rounds=$ROUNDS, best round, one thread")
        for (targets in listOf(6, 100)) {
            report("baselines, $targets targets", RoundRobinPicker(), NoLimitAdmission(), targets)
            report(
                "chosen, $targets targets",
                LoadAwarePicker("a", SEED),
                AdaptiveAdmission(AdaptiveAdmissionSettings(slots = 10, maxQueue = 40)),
                targets,
            )
        }
    }

    private fun report(
        name: String,
        picker: TargetPicker,
        admission: AdmissionControl,
        targets: Int,
    ) {
        picker.update(List(targets) { TargetInfo("t$it", if (it % 3 == 0) "a" else "b", "", slots = 10) }, 0)
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        var bestNanos = Double.MAX_VALUE
        var bytes = 0.0
        repeat(ROUNDS) {
            val bytesBefore = threads.currentThreadAllocatedBytes
            val startNanos = System.nanoTime()
            calls(picker, admission)
            bestNanos = minOf(bestNanos, (System.nanoTime() - startNanos) / CALLS.toDouble())
            bytes = (threads.currentThreadAllocatedBytes - bytesBefore) / CALLS.toDouble()
        }
        println("%-24s %7.0f ns/call %7.0f bytes/call".format(name, bestNanos, bytes))
    }

    private fun calls(
        picker: TargetPicker,
        admission: AdmissionControl,
    ) {
        val load = LoadReport(3, 5_000_000)
        for (index in 1..CALLS) {
            val nowNanos = index * 3_000_000L
            val target = checkNotNull(picker.pick(nowNanos))
            picker.onStart(target, nowNanos)
            val call = AdmissionCall("r", CallPriority.NORMAL, CallCost.LEARNED, 0, Deadline.after(2_000, nowNanos), listener)
            admission.offer(call, nowNanos)
            val latencyNanos = 4_000_000L + index % 7 * 300_000
            admission.onFinish(call, nowNanos + latencyNanos)
            picker.onFinish(target, nowNanos + latencyNanos, latencyNanos, AttemptOutcome.SUCCESS, load)
        }
    }
}
