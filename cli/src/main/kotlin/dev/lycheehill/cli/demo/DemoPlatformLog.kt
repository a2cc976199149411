package dev.lycheehill.cli.demo

import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.http.HttpLogSettings
import dev.lycheehill.platformlog.http.HttpPlatformLog
import dev.lycheehill.platformlog.memory.LogFaults
import dev.lycheehill.platformlog.publish.FoldStateSource
import dev.lycheehill.platformlog.publish.InForceCount
import dev.lycheehill.platformlog.publish.InForceCounter
import dev.lycheehill.platformlog.publish.PublishLimits
import dev.lycheehill.platformlog.publish.Publisher
import dev.lycheehill.standins.log.LogStandIn
import kotlin.random.Random

/** Platform log of the demo: a log stand-in, a client of the log and a publisher. */
class DemoPlatformLog(
    private val seed: Long,
) : AutoCloseable {
    private val server = LogStandIn().start()
    private val timers = SystemTimerService("demo-publisher")

    /** HTTP client of the log. */
    val client: PlatformLog = HttpPlatformLog(HttpLogSettings(server.baseUri))

    /** Returns a publisher that reads the configuration from the node of [agent], and on how many nodes a version is in force. */
    fun publisher(agent: () -> FleetAgent): Publisher =
        Publisher(
            log = client,
            foldStateSource = FoldStateSource { agent().foldState() },
            inForceCounter = InForceCounter { version -> inForce(agent(), version) },
            timers = timers,
            random = Random(seed),
            limits =
                PublishLimits(
                    appendTimeoutMs = 1_500,
                    searchTimeoutMs = 1_000,
                    fenceTimeoutMs = 1_500,
                    inForceTimeoutMs = 5_000,
                    inForcePollIntervalMs = 20,
                ),
        )

    /** Starts an outage of the log if [on] is true, otherwise ends the outage. */
    fun setOutage(on: Boolean) {
        server.faults = LogFaults(outage = on)
    }

    override fun close() {
        server.close()
        timers.close()
    }

    private fun inForce(
        agent: FleetAgent,
        version: Long,
    ): InForceCount = agent.inForce(version).let { InForceCount(it.nodes, it.nodesInForce, it.laggingZones) }
}
