package dev.lycheehill.measure.fleet

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.fleet.membership.MemberTable
import dev.lycheehill.measure.MeasurementResult
import kotlin.random.Random

/**
 * Measures the processor time and the heap that control takes on a node.
 *
 * The processor time is measured at the planned rate of changes. The heap at the design size is extrapolated: the heap of
 * an agent with sockets, plus the heap per member record and per service with one route, times their numbers at the
 * design size.
 */
class NodeFootprintMeasurement(
    private val sizes: List<Int> = listOf(25, 50, 100, 200),
    private val members: List<Int> = listOf(1_000, 4_750, 9_500, 19_000, 38_000),
    private val services: List<Int> = listOf(400, 800, 1_600, 3_200, 6_400),
) : FleetMeasurement {
    override val name = "node-footprint"

    override fun run(
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        print("$name seed=$seed deployment=${deployment.label} sizes=$sizes members=$members services=$services")
        val perMember = heapSlope("members", members, print) { count -> memberTable(count, deployment) }
        val perService = heapSlope("services", services, print) { count -> content(count) }
        val usages = sizes.map { size -> size to measureFleet(size, seed, deployment, print) }
        val cpuFit = LinearFit(usages.map { (size, usage) -> size.toDouble() to usage.first.coreShare })
        print("$name processor slope: %.6f%% of a core for each node of the fleet".format(cpuFit.slope * PERCENT))
        val agentHeapBytes = LinearFit(usages.map { (size, usage) -> size.toDouble() to usage.second }).slope
        val heapMb = (agentHeapBytes + perMember * members.last() + perService * services.last()) / BYTES_PER_MB
        print("$name heap: %.0f KB an agent, %.1f MB at the design size".format(agentHeapBytes / BYTES_PER_KB, heapMb))
        val ours = usages.maxOf { it.second.first.coreShare } * PERCENT
        val baseline = baselineShare(sizes.last(), seed) * PERCENT
        return MeasurementResult(
            name = "$name-percent-of-a-core",
            seed = seed,
            deployment = deployment.label,
            ours = ours,
            baseline = baseline,
            ratio = ours / baseline,
            target = "$TARGET_MB MB of heap at the design size and $TARGET_PERCENT% of a core at the planned rate",
            met = ours <= TARGET_PERCENT && heapMb <= TARGET_MB,
        )
    }

    private fun measureFleet(
        size: Int,
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit,
    ): Pair<NodeUsage, Double> {
        val log = LongPollingLog()
        val heapBefore = ProcessUsage.heapBytes()
        return AgentFleet(size, deployment, log, Random(seed)).use { fleet ->
            val load = ChangeLoad(PatchPublisher(log), Random(seed))
            fleet.start()
            Thread.sleep(SETTLE_MS)
            val usage = NodeUsage.measureDuring(fleet, log) { load.run(fleet, LoadLevel.PLANNED.multiple, LOAD_SECONDS) }
            val heap = (ProcessUsage.heapBytes() - heapBefore).toDouble()
            val line = "$name nodes=%d processor %.2f%% of a core a node, heap %.0f KB a node, %.0f B/s a node"
            print(line.format(size, usage.coreShare * PERCENT, heap / size / BYTES_PER_KB, usage.bytesPerSecond))
            usage to heap
        }
    }

    private fun baselineShare(
        size: Int,
        seed: Long,
    ): Double {
        val log = LongPollingLog()
        return PollingFleet(size, log, Random(seed)).use { fleet ->
            val load = ChangeLoad(PatchPublisher(log), Random(seed))
            fleet.start()
            Thread.sleep(SETTLE_MS)
            NodeUsage.measureDuring(fleet, log) { load.run(fleet, LoadLevel.PLANNED.multiple, LOAD_SECONDS) }.coreShare
        }
    }

    private fun heapSlope(
        elementKind: String,
        counts: List<Int>,
        print: (String) -> Unit,
        build: (Int) -> Any,
    ): Double {
        val points =
            counts.map { count ->
                val before = ProcessUsage.heapBytes()
                val retained = build(count)
                val bytes = (ProcessUsage.heapBytes() - before).toDouble()
                check(retained.hashCode() != 0 || count > 0)
                count.toDouble() to bytes
            }
        val fit = LinearFit(points)
        val text = points.joinToString { (count, bytes) -> "%.0f: %.0f KB".format(count, bytes / BYTES_PER_KB) }
        print("$name heap of $elementKind $text; slope %.0f B each".format(fit.slope))
        return fit.slope
    }

    private fun memberTable(
        count: Int,
        deployment: FleetDeployment,
    ): MemberTable {
        val table = MemberTable()
        repeat(count) {
            val address = "10.${it shr 16 and 255}.${it shr 8 and 255}.${it and 255}"
            val zone = deployment.zones[it % deployment.zones.size]
            val record =
                MemberRecord(
                    "node-%05d".format(it),
                    it.toLong(),
                    MemberState.READY,
                    zone,
                    "r",
                    "service-${it % 6_400}",
                    "$address:7",
                    "$address:8",
                    10,
                )
            table.merge(record, nowMs = 0)
        }
        return table
    }

    private fun content(count: Int): ConfigContent {
        val names = (0 until count).map { "service-$it" }
        return ConfigContent(
            services = names.associateWith { Service(it) },
            routes = names.map { Route("route-$it", "bobbins.example", "/$it", weights = mapOf(it to 100)) }.associateBy { it.name },
        )
    }

    private companion object {
        const val TARGET_MB = 64
        const val TARGET_PERCENT = 3.5
        const val PERCENT = 100
        const val BYTES_PER_KB = 1_024.0
        const val BYTES_PER_MB = 1_048_576.0
        const val SETTLE_MS = 8_000L
        const val LOAD_SECONDS = 15
    }
}
