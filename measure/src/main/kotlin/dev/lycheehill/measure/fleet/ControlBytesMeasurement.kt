package dev.lycheehill.measure.fleet

import dev.lycheehill.measure.MeasurementResult
import kotlin.random.Random

/**
 * Measures the control traffic of a node in bytes per second, sent and received together: without changes, at the planned
 * rate of changes and at ten times that rate.
 */
class ControlBytesMeasurement(
    private val sizes: List<Int> = listOf(25, 50, 100, 200),
    private val levels: List<LoadLevel> = LoadLevel.entries,
) : FleetMeasurement {
    override val name = "control-bytes"

    override fun run(
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        print("$name seed=$seed deployment=${deployment.label} sizes=$sizes; bytes sent and received, without TCP and IP headers")
        val series = sizes.map { it to compare(it, seed, deployment, print) }
        levels.forEach { level ->
            val fit = LinearFit(series.map { (size, usages) -> size.toDouble() to usages.getValue(level).first.bytesPerSecond })
            print("$name $level slope: %.2f B/s of a node for each node of the fleet".format(fit.slope))
        }
        val (ours, baseline) = series.last().second.getValue(LoadLevel.PLANNED)
        return MeasurementResult(
            name = "$name-bytes-per-node-and-second",
            seed = seed,
            deployment = deployment.label,
            ours = ours.bytesPerSecond,
            baseline = baseline.bytesPerSecond,
            ratio = ours.bytesPerSecond / baseline.bytesPerSecond,
            target = "under $TARGET_BYTES B/s a node at the planned rate and ${series.last().first} nodes",
            met = ours.bytesPerSecond < TARGET_BYTES,
        )
    }

    private fun compare(
        size: Int,
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit,
    ): Map<LoadLevel, Pair<NodeUsage, NodeUsage>> {
        val ours = LongPollingLog().let { log -> AgentFleet(size, deployment, log, Random(seed)).use { measure(it, log, seed, SETTLE_MS) } }
        val baseline =
            LongPollingLog().let { log ->
                PollingFleet(size, log, Random(seed)).use { measure(it, log, seed, BASELINE_SETTLE_MS) }
            }
        levels.forEach { print("$name nodes=$size $it ours ${describe(ours.getValue(it))}; baseline ${describe(baseline.getValue(it))}") }
        return levels.associateWith { ours.getValue(it) to baseline.getValue(it) }
    }

    private fun measure(
        fleet: MeasuredFleet,
        log: LongPollingLog,
        seed: Long,
        settleMs: Long,
    ): Map<LoadLevel, NodeUsage> {
        val load = ChangeLoad(PatchPublisher(log), Random(seed))
        fleet.start()
        Thread.sleep(settleMs)
        return levels.associateWith { level -> NodeUsage.measureDuring(fleet, log) { load.run(fleet, level.multiple, level.seconds) } }
    }

    private fun describe(usage: NodeUsage): String =
        "%.0f B/s, %.2f%% of a core, fleet's log reads %.1f/s".format(usage.bytesPerSecond, usage.coreShare * 100, usage.logReadsPerSecond)

    private companion object {
        const val TARGET_BYTES = 3_000
        const val SETTLE_MS = 12_000L
        const val BASELINE_SETTLE_MS = 2_000L
    }
}
