package dev.lycheehill.measure.fleet

import dev.lycheehill.measure.MeasurementResult
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Measures the time from the append of a patch until the patch is in force on a node, over all nodes and patches.
 *
 * Patches are published at 13 times the planned rate. Growth counts as no worse than logarithmic if the p99 at the largest
 * size is at most the p99 at the smallest size times the ratio of the logarithms of the sizes.
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
        val fit = LinearFit(series.map { (size, p99) -> ln(size.toDouble()) to p99.first })
        val (smallest, largest) = series.first() to series.last()
        val growth = largest.second.first / smallest.second.first
        val allowed = ln(largest.first.toDouble()) / ln(smallest.first.toDouble())
        print(
            "$name slope: %.1f ms of p99 for each e-fold of the size; growth %.2f, logarithmic %.2f".format(fit.slope, growth, allowed),
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
                ours.percentile(P50),
                ours.percentile(P99),
                ours.max,
                baseline.percentile(P50),
                baseline.percentile(P99),
                baseline.max,
                ours.size,
                cores,
            ),
        )
        return ours.percentile(P99) to baseline.percentile(P99)
    }

    private fun measure(
        fleet: MeasuredFleet,
        log: LongPollingLog,
        seed: Long,
    ): Samples {
        val random = Random(seed)
        val publisher = PatchPublisher(log)
        val publishedAt = ConcurrentHashMap<Long, Long>()
        val observedVersions = LongArray(fleet.size)
        val latencies = ConcurrentLinkedQueue<Double>()
        fleet.onVersionChange { node, version ->
            val now = System.nanoTime()
            for (newVersion in maxOf(observedVersions[node], warmUpPatches.toLong()) + 1..version) {
                latencies += (now - publishedAt.getValue(newVersion)) / NANOS_PER_MILLI
            }
            observedVersions[node] = version
        }
        fleet.start()
        Thread.sleep(SETTLE_MS)
        repeat(patches) {
            publishedAt[publisher.state.version + 1] = System.nanoTime()
            publisher.publish()
            Thread.sleep(random.nextLong(MIN_GAP_MS, MAX_GAP_MS))
        }
        Wait.until("version $patches on all nodes", TIMEOUT_MS) { fleet.lowestVersion() == patches.toLong() }
        return Samples(latencies)
    }

    private companion object {
        const val TARGET_MS = 1_000
        const val P50 = 50.0
        const val P99 = 99.0
        const val MIN_GAP_MS = 400L
        const val MAX_GAP_MS = 800L
        const val SETTLE_MS = 4_000L
        const val TIMEOUT_MS = 30_000L
        const val NANOS_PER_MILLI = 1e6
        const val NANOS_PER_SECOND = 1e9
    }
}
