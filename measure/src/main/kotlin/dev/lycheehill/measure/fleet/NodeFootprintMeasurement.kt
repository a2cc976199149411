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
 * Processor time and heap of a node for control.
 *
 * The heap at the design size is the heap of an agent with sockets, plus the slopes of tables of member records and of
 * services with one route each. The processor time is that at the planned rate.
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
        val uses = sizes.map { size -> size to use(size, seed, deployment, print) }
        val cpuSlope = LinearFit(uses.map { (size, use) -> size.toDouble() to use.first.coreShare })
        print("$name processor slope: %.6f%% of a core for each node of the fleet".format(cpuSlope.slope * PERCENT))
        val base = LinearFit(uses.map { (size, use) -> size.toDouble() to use.second }).slope
        val heapMb = (base + perMember * members.last() + perService * services.last()) / BYTES_PER_MB
        print("$name heap: %.0f KB an agent, %.1f MB at the design size".format(base / BYTES_PER_KB, heapMb))
        val ours = uses.maxOf { it.second.first.coreShare } * PERCENT
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

    private fun use(
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
            val use = NodeUsage.during(fleet, log) { load.run(fleet, LoadLevel.PLANNED.multiple, SECONDS) }
            val heap = (ProcessUsage.heapBytes() - heapBefore).toDouble()
            val line = "$name nodes=%d processor %.2f%% of a core a node, heap %.0f KB a node, %.0f B/s a node"
            print(line.format(size, use.coreShare * PERCENT, heap / size / BYTES_PER_KB, use.bytesPerSecond))
            use to heap
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
            NodeUsage.during(fleet, log) { load.run(fleet, LoadLevel.PLANNED.multiple, SECONDS) }.coreShare
        }
    }

    private fun heapSlope(
        what: String,
        counts: List<Int>,
        print: (String) -> Unit,
        build: (Int) -> Any,
    ): Double {
        val points =
            counts.map { count ->
                val before = ProcessUsage.heapBytes()
                val held = build(count)
                val bytes = (ProcessUsage.heapBytes() - before).toDouble()
                check(held.hashCode() != 0 || count > 0)
                count.toDouble() to bytes
            }
        val slope = LinearFit(points)
        val text = points.joinToString { (count, bytes) -> "%.0f: %.0f KB".format(count, bytes / BYTES_PER_KB) }
        print("$name heap of $what $text; slope %.0f B each".format(slope.slope))
        return slope.slope
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
        const val SECONDS = 15
    }
}
