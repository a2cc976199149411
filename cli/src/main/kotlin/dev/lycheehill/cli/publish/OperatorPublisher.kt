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

/** Publishes patches for an operator: appends patches to the log and asks one node how many nodes have a version in force. */
class OperatorPublisher(
    private val log: PlatformLog,
    private val node: NodeClient,
) {
    /**
     * Publishes the patch [text] against version [base] of [history]. Blocks.
     *
     * @param file name of the patch file, for error messages.
     */
    fun publish(
        history: VersionHistory,
        text: String,
        file: String,
        base: Long,
    ): PublishResult {
        val content = history.contentByVersion[base] ?: return resultForUnknownBase(history, base)
        val request = PublishRequest(text, System.getProperty("user.name").orEmpty(), file, PatchBase(base, ContentHash.of(content)))
        return SystemTimerService("publisher").use { timers ->
            Publisher(log, FoldStateSource { history.state }, InForceCounter(::countInForce), timers, Random.Default).publish(request)
        }
    }

    // No earlier run can have sent a patch against a version that does not exist, because such a version has no content hash.
    private fun resultForUnknownBase(
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

    // The node counts the nodes that have its own version. The count for a later version is a lower bound for this version.
    private fun countInForce(version: Long): InForceCount =
        node.get("/v1/version").fold({ InForceCount(nodes = 0, nodesInForce = 0) }) { response ->
            val report = response.path("in_force")
            val zones = report.path("lagging_zones").map { it.asText() }.toSet()
            val hasVersion = response.path("version").asLong() >= version
            InForceCount(
                nodes = report.path("nodes").asInt(),
                nodesInForce = if (hasVersion) report.path("nodes_in_force").asInt() else 0,
                laggingZones = zones,
            )
        }
}
