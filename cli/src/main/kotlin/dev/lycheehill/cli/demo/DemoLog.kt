package dev.lycheehill.cli.demo

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.cli.publish.PatchPublisher
import dev.lycheehill.cli.publish.PublishAnswer
import dev.lycheehill.config.fold.PatchOutcome
import dev.lycheehill.config.fold.outcomeOf
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchId
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.core.Verdict
import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.LogPage
import dev.lycheehill.platformlog.PlatformLog

/** Placeholder log until branch config has the stand-in. */
class DemoLog :
    AutoCloseable,
    LogOutage {
    private val streams = HashMap<String, MutableList<ByteArray>>()

    @Volatile private var outage = false

    val client: PlatformLog =
        object : PlatformLog {
            override fun append(
                stream: String,
                payload: ByteArray,
            ): Either<LogError, Long> =
                if (outage) {
                    LogError(LogError.Kind.UNAVAILABLE, Verdict.NOT_RUN, "outage").left()
                } else {
                    synchronized(streams) {
                        streams
                            .getOrPut(stream) { mutableListOf() }
                            .let {
                                it += payload
                                it.size - 1L
                            }.right()
                    }
                }

            override fun read(
                stream: String,
                fromOffset: Long,
                maxRecords: Int,
                waitMs: Long,
            ): Either<LogError, LogPage> {
                val end = System.nanoTime() + waitMs * 1_000_000
                while (true) {
                    if (outage) return LogError(LogError.Kind.UNAVAILABLE, Verdict.NOT_RUN, "outage").left()
                    val page =
                        synchronized(streams) {
                            val all = streams.getOrPut(stream) { mutableListOf() }
                            LogPage(
                                all
                                    .withIndex()
                                    .drop(fromOffset.toInt())
                                    .take(maxRecords)
                                    .map { LogEntry(it.index.toLong(), it.value) },
                                0,
                                all.size.toLong(),
                            )
                        }
                    if (page.entries.isNotEmpty() || System.nanoTime() >= end) return page.right()
                    Thread.sleep(2)
                }
            }
        }

    fun publisher(agent: () -> FleetAgent) =
        PatchPublisher { text, base ->
            val state = agent().foldState()
            if (state.version != base) return@PatchPublisher PublishAnswer.Refused("never sent: version is ${state.version}")
            val record = PatchRecord.of(base, state.contentHash, text)
            if (client.append("config", RecordCodec.encode(record)).isLeft()) return@PatchPublisher PublishAnswer.Refused("never sent")
            val id = PatchId.parse(record.patchId)!!
            DemoMesh.await(5_000) { agent().foldState().outcomeOf(id) != PatchOutcome.NotKnownYet }
            when (val outcome = agent().foldState().outcomeOf(id)) {
                is PatchOutcome.Accepted -> {
                    var report = agent().inForce(outcome.version)
                    val end = System.nanoTime() + 5_000_000_000
                    while (report.nodesInForce < report.nodes &&
                        System.nanoTime() < end
                    ) {
                        Thread.sleep(20)
                        report = agent().inForce(outcome.version)
                    }
                    if (report.nodesInForce == report.nodes) {
                        PublishAnswer.InForce(outcome.version, report.nodes)
                    } else {
                        PublishAnswer.InForceOnSome(outcome.version, report.nodes, report.nodesInForce, report.laggingZones)
                    }
                }
                is PatchOutcome.Refused -> PublishAnswer.Refused(outcome.reason)
                else -> PublishAnswer.NotKnown(record.patchId, "time is up")
            }
        }

    override fun set(on: Boolean) {
        outage = on
    }

    override fun close() = Unit
}
