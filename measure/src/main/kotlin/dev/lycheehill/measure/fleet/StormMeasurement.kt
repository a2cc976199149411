package dev.lycheehill.measure.fleet

import dev.lycheehill.measure.MeasurementResult
import kotlin.random.Random

/**
 * Measures the recovery time of an availability zone after a crash of all its nodes. All nodes of the zone restart at once
 * with empty state; the time ends when all nodes have reached the current version. Measured with the log up and with the
 * log down; the baseline is measured with the log up only.
 */
class StormMeasurement(
    private val sizes: List<Int> = listOf(25, 50, 100, 200),
    private val patches: Int = 400,
) : FleetMeasurement {
    override val name = "storm"

    override fun run(
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        print("$name seed=$seed deployment=${deployment.label} sizes=$sizes; a third of the nodes restarts, $patches patches behind")
        val series = sizes.map { size -> size to compare(size, seed, deployment, print) }
        val fit = LinearFit(series.map { (size, outcome) -> size.toDouble() to outcome.logUpMs })
        print("$name slope: %.2f ms for each node of the fleet".format(fit.slope))
        val last = series.last().second
        return MeasurementResult(
            name = "$name-ms",
            seed = seed,
            deployment = deployment.label,
            ours = last.logUpMs,
            baseline = last.baselineMs,
            ratio = last.logUpMs / last.baselineMs,
            target = "served within $TARGET_MS ms with the log up and down; no version regression",
            met = series.all { (_, it) -> it.logUpMs <= TARGET_MS && it.logDownMs <= TARGET_MS && it.regressions == 0 },
        )
    }

    private fun compare(
        size: Int,
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit,
    ): StormOutcome {
        val log = LongPollingLog()
        val publisher = PatchPublisher(log)
        repeat(patches) { publisher.publish() }
        val regressionCounter = VersionRegressionCounter(size)
        val outcome =
            AgentFleet(size, deployment, log, Random(seed)).use { fleet ->
                fleet.onVersionChange(regressionCounter::observe)
                fleet.start()
                Wait.until("version $patches on all nodes", TIMEOUT_MS) { fleet.lowestVersion() >= patches }
                val logUpMs = restartZone(fleet, deployment, regressionCounter)
                log.isDown = true
                val logDownMs = restartZone(fleet, deployment, regressionCounter)
                log.isDown = false
                StormOutcome(logUpMs, logDownMs, baseline(size, log, seed), regressionCounter.regressions)
            }
        print("$name nodes=$size $outcome")
        return outcome
    }

    private fun restartZone(
        fleet: AgentFleet,
        deployment: FleetDeployment,
        regressionCounter: VersionRegressionCounter,
    ): Double {
        val indexes = fleet.nodeIndexesIn(deployment.zones.last())
        indexes.forEach(fleet::crash)
        regressionCounter.reset(indexes)
        indexes.forEach(fleet::startNode)
        return Wait.orNull(TIMEOUT_MS) { fleet.lowestVersion() >= patches } ?: Double.POSITIVE_INFINITY
    }

    private fun baseline(
        size: Int,
        log: LongPollingLog,
        seed: Long,
    ): Double =
        PollingFleet(size, log, Random(seed)).use { fleet ->
            fleet.start()
            Wait.until("version $patches on all nodes", TIMEOUT_MS) { fleet.lowestVersion() >= patches }
            val indexes = (0 until size step 3).toList()
            fleet.restart(indexes)
            Wait.orNull(TIMEOUT_MS) { fleet.lowestVersion(indexes) >= patches } ?: Double.POSITIVE_INFINITY
        }

    private companion object {
        const val TARGET_MS = 13_000
        const val TIMEOUT_MS = 60_000L
    }
}
