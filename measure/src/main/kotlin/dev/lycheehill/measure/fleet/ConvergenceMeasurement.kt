package dev.lycheehill.measure.fleet

import dev.lycheehill.measure.MeasurementResult
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Time from the append of a patch until it is in force on a node, over all nodes and patches.
 *
 * Patches follow one another 13 times as fast as the planned rate. Growth is no worse than logarithmic when the p99 at the largest size is at most the p99 at the smallest size times the
 * ratio of the logarithms of the sizes.
 */
class ConvergenceMeasurement(
    private val sizes: List<Int> = listOf(25, 50, 100, 200),
    private val patches: Int = 40,
    private val warmUpPatches: Int = 10,
) : FleetMeasurement {
    override val name = "convergence"

    override fun run(
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        print("$name seed=$seed deployment=${deployment.label} sizes=$sizes patches=$patches; loopback without zone latency")
        val series = sizes.map { size -> size to compare(size, seed, deployment, print) }
        val slope = LinearFit(series.map { (size, p99) -> ln(size.toDouble()) to p99.first })
        val (smallest, largest) = series.first() to series.last()
        val growth = largest.second.first / smallest.second.first
        val allowed = ln(largest.first.toDouble()) / ln(smallest.first.toDouble())
        print(
            "$name slope: %.1f ms of p99 for each e-fold of the size; growth %.2f, logarithmic %.2f".format(slope.slope, growth, allowed),
        )
        val (ours, baseline) = largest.second
        val met = ours <= TARGET_MS && growth <= allowed
        val target = "p99 at ${largest.first} nodes within $TARGET_MS ms; growth no worse than logarithmic"
        return MeasurementResult("$name-p99-ms", seed, deployment.label, ours, baseline, ours / baseline, target, met)
    }

    private fun compare(
        size: Int,
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit,
    ): Pair<Double, Double> {
        val cpuBefore = ProcessUsage.cpuSeconds()
        val start = System.nanoTime()
        val ours = LongPollingLog().let { log -> AgentFleet(size, deployment, log, Random(seed)).use { measure(it, log, seed) } }
        val cores = (ProcessUsage.cpuSeconds() - cpuBefore) * NANOS_PER_SECOND / (System.nanoTime() - start)
        val baseline = LongPollingLog().let { log -> PollingFleet(size, log, Random(seed)).use { measure(it, log, seed) } }
        val line = "$name nodes=%d ours p50=%.1f p99=%.1f max=%.1f ms; baseline p50=%.1f p99=%.1f max=%.1f ms; samples=%d; cores=%.2f"
        print(
            line.format(
                size,
                ours.percentile(MEDIAN),
                ours.percentile(HIGH),
                ours.max,
                baseline.percentile(MEDIAN),
                baseline.percentile(HIGH),
                baseline.max,
                ours.size,
                cores,
            ),
        )
        return ours.percentile(HIGH) to baseline.percentile(HIGH)
    }

    private fun measure(
        fleet: MeasuredFleet,
        log: LongPollingLog,
        seed: Long,
    ): Samples {
        val random = Random(seed)
        val source = PatchPublisher(log)
        val publishedAt = ConcurrentHashMap<Long, Long>()
        val seen = LongArray(fleet.size)
        val latencies = ConcurrentLinkedQueue<Double>()
        fleet.onVersionChange { node, version ->
            val now = System.nanoTime()
            for (each in maxOf(seen[node], warmUpPatches.toLong()) + 1..version) {
                latencies += (now - publishedAt.getValue(each)) / NANOS_PER_MILLI
            }
            seen[node] = version
        }
        fleet.start()
        Thread.sleep(SETTLE_MS)
        repeat(patches) {
            publishedAt[source.state.version + 1] = System.nanoTime()
            source.publish()
            Thread.sleep(random.nextLong(MIN_GAP_MS, MAX_GAP_MS))
        }
        Wait.until("version $patches on all nodes", LIMIT_MS) { fleet.lowestVersion() == patches.toLong() }
        return Samples(latencies)
    }

    private companion object {
        const val TARGET_MS = 1_000
        const val MEDIAN = 50.0
        const val HIGH = 99.0
        const val MIN_GAP_MS = 400L
        const val MAX_GAP_MS = 800L
        const val SETTLE_MS = 4_000L
        const val LIMIT_MS = 30_000L
        const val NANOS_PER_MILLI = 1e6
        const val NANOS_PER_SECOND = 1e9
    }
}
