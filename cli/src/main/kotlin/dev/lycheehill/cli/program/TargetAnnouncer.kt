package dev.lycheehill.cli.program

import arrow.core.Either
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.client.ClientError
import dev.lycheehill.cli.client.NodeClient
import dev.lycheehill.cli.output.Json
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Announces a backend server to its node and renews the lease until the announcer is closed. */
class TargetAnnouncer(
    private val client: NodeClient,
    private val announcement: TargetMessage,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { Thread(it, "target-announcer").apply { isDaemon = true } }
    private var isAccepted = false

    /** Sends the first announcement immediately, then renews the lease three times per lease duration. */
    fun start() {
        val periodMs = announcement.leaseMs / RENEWALS_PER_LEASE
        executor.scheduleWithFixedDelay(::announce, 0, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Stops renewing the lease. When the lease expires, the node takes the target out of service. */
    override fun close() {
        executor.shutdownNow()
    }

    private fun announce() {
        val result = client.put("/v1/target", Json.document(announcement))
        logChange(result)
        isAccepted = result.isRight()
    }

    private fun logChange(result: Either<ClientError, JsonNode>) =
        result.fold(
            { if (isAccepted) logger.warn { "announcement_failed service=${announcement.service} reason=${it.message}" } },
            { if (!isAccepted) logger.info { "announced service=${announcement.service} address=${announcement.address}" } },
        )

    private companion object {
        val logger = KotlinLogging.logger {}
        const val RENEWALS_PER_LEASE = 3L
    }
}
