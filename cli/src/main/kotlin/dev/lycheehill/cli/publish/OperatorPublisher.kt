package dev.lycheehill.cli.publish

import dev.lycheehill.cli.client.NodeClient
import dev.lycheehill.config.model.ContentHash
import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.publish.FoldStateSource
import dev.lycheehill.platformlog.publish.InForceCount
import dev.lycheehill.platformlog.publish.InForceCounter
import dev.lycheehill.platformlog.publish.PatchBase
import dev.lycheehill.platformlog.publish.PublishRequest
import dev.lycheehill.platformlog.publish.PublishResult
import dev.lycheehill.platformlog.publish.Publisher
import kotlin.random.Random

/** Publishes patches for an operator: reads and writes the log, and asks one node how far a version has come. */
class OperatorPublisher(
    private val log: PlatformLog,
    private val node: NodeClient,
) {
    /** Publishes [text] against version [base] of [history]. */
    fun publish(
        history: VersionHistory,
        text: String,
        file: String,
        base: Long,
    ): PublishResult {
        val content = history.contents[base] ?: return unknownBase(history, base)
        val request = PublishRequest(text, System.getProperty("user.name").orEmpty(), file, PatchBase(base, ContentHash.of(content)))
        return SystemTimerService("publisher").use { timers ->
            Publisher(log, FoldStateSource { history.state }, InForceCounter(::inForce), timers, Random.Default).publish(request)
        }
    }

    // A version that does not exist has no hash, so no patch against it can have been written.
    private fun unknownBase(
        history: VersionHistory,
        base: Long,
    ): PublishResult {
        val current = history.state.version
        return if (base > current) {
            PublishResult.Refused("", "version $base does not exist; the current version is $current", neverSent = true)
        } else {
            PublishResult.NotKnownYet("", "version $base is too old to tell; the current version is $current")
        }
    }

    // The node counts for its own version. A count for a later version is a lower bound for this one.
    private fun inForce(version: Long): InForceCount =
        node.get("/v1/version").fold({ InForceCount(nodes = 0, nodesInForce = 0) }) { answer ->
            val report = answer.path("in_force")
            val zones = report.path("lagging_zones").map { it.asText() }.toSet()
            val counts = answer.path("version").asLong() >= version
            InForceCount(
                nodes = report.path("nodes").asInt(),
                nodesInForce = if (counts) report.path("nodes_in_force").asInt() else 0,
                laggingZones = zones,
            )
        }
}
