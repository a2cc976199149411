package dev.lycheehill.cli.demo

import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.platformlog.PlatformLog
import java.util.concurrent.CopyOnWriteArrayList

/** Mesh of the demo: all instances of a deployment in this process. */
class DemoMesh(
    private val deployment: Deployment,
    private val log: PlatformLog,
    private val seed: Long,
    private val versionMonitor: VersionMonitor,
) : AutoCloseable {
    private val timers = SystemTimerService()
    private val all = CopyOnWriteArrayList<DemoInstance>()

    /** Instances that have not been killed. */
    val live: List<DemoInstance> get() = all.filter { it.isAlive }

    /** All instances that were started, including killed ones. */
    val instances: List<DemoInstance> get() = all

    /** Starts one instance for each target, distributed evenly over the zones. */
    fun start() {
        val names = deployment.services.flatMap { (service, count) -> (1..count).map { service to "$service-$it" } }
        names.forEachIndexed { index, (service, nodeId) -> add(nodeId, deployment.zones[index % deployment.zones.size], service) }
    }

    /** Starts an additional instance and returns it. */
    fun add(
        nodeId: String,
        zone: String,
        service: String,
    ): DemoInstance {
        val seeds = live.take(SEEDS).map { it.controlAddress }
        val settings = DemoInstance.settings(nodeId, zone, deployment.region, seeds)
        val instance = DemoInstance(settings, service, deployment.slots, log, timers, seed + all.size)
        instance.start()
        all += instance
        versionMonitor.add(nodeId) { instance.agent.foldState().version }
        return instance
    }

    /** Stops [instance] abruptly. */
    fun kill(instance: DemoInstance) {
        versionMonitor.remove(instance.nodeId)
        instance.kill()
    }

    /** Waits until every live node sees every live target as ready. Returns false after [timeoutMs] milliseconds. */
    fun awaitReady(timeoutMs: Long): Boolean =
        await(timeoutMs) {
            val ids = live.map { it.nodeId }.toSet()
            live.all { instance ->
                val ready =
                    instance.agent
                        .members()
                        .values
                        .filter { it.state == MemberState.READY }
                ready.map { it.nodeId }.containsAll(ids)
            }
        }

    /** Returns the egress addresses for a caller of [own]: its own node, then the nodes of the same zone, then the other nodes. */
    fun egressAddresses(own: DemoInstance): List<String> {
        val others = live.filter { it !== own }.sortedBy { it.zone != own.zone }
        return (listOf(own) + others).map { it.egressAddress.toString() }
    }

    override fun close() {
        live.parallelStream().forEach { it.kill() }
        timers.close()
    }

    companion object {
        private const val SEEDS = 3
        private const val POLL_MS = 10L

        /** Waits until [condition] holds. Returns false if it does not hold within [timeoutMs] milliseconds. */
        fun await(
            timeoutMs: Long,
            condition: () -> Boolean,
        ): Boolean {
            val endNanos = System.nanoTime() + timeoutMs * 1_000_000
            while (!condition()) {
                if (System.nanoTime() > endNanos) return false
                Thread.sleep(POLL_MS)
            }
            return true
        }
    }
}
