package dev.lycheehill.fleet

import dev.lycheehill.config.log.Streams
import dev.lycheehill.config.snapshot.SnapshotAssembler
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireRecord
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class LogFaultTest {
    enum class Change { SHORTER, DIFFERENT, SHORTER_AND_REGROWN }

    /** Guards against a restored log with other records, which nodes must not fold on top of the records that they hold. */
    @ParameterizedTest
    @EnumSource
    fun `a log that comes back changed is reported and not followed`(change: Change) {
        val sim = FleetSim(seed = 21)
        sim.startAll(perZone = 2)
        repeat(3) { sim.publish() }
        sim.awaitVersion(3, limitMs = 13_000)
        sim.log.isDown = true
        sim.advance(10_000)
        sim.log.isDown = false
        when (change) {
            Change.SHORTER -> sim.log.truncate(Streams.CONFIG, 2)
            Change.DIFFERENT -> sim.log.replaceLast(Streams.CONFIG, byteArrayOf(1))
            Change.SHORTER_AND_REGROWN -> {
                sim.log.truncate(Streams.CONFIG, 2)
                repeat(3) { sim.append(byteArrayOf(it.toByte())) }
            }
        }
        sim.log.isDown = false
        sim.advance(20_000)
        expectThat(
            sim.agents.values
                .map { it.foldState().version }
                .distinct(),
        ).isEqualTo(listOf(3L))
        expectThat(
            sim.agents.values
                .mapNotNull { it.logDivergence }
                .size,
        ).isGreaterThan(0)
        expectThat(
            sim.agents.values
                .map { it.foldState().nextOffset }
                .distinct(),
        ).isEqualTo(listOf(3L))
    }

    /** Guards against a reader that takes an outage for a divergence, or does not resume. */
    @Test
    fun `a log that returns with the same records is followed again`() {
        val sim = FleetSim(seed = 22)
        sim.startAll(perZone = 2)
        sim.awaitVersion(sim.publish(), limitMs = 13_000)
        sim.log.isDown = true
        sim.advance(60_000)
        sim.log.isDown = false
        sim.awaitVersion(sim.publish(), limitMs = 13_000)
        expectThat(sim.agents.values.firstNotNullOfOrNull { it.logDivergence }).isNull()
    }

    /** Guards against nodes that stay on an old version because the log no longer has the records that follow. */
    @Test
    fun `after an outage longer than the retention nodes continue from a snapshot in the log`() {
        val sim = FleetSim(seed = 23, zones = listOf("a", "b"))
        sim.start("a-0")
        repeat(10) { sim.publish() }
        sim.awaitVersion(10, limitMs = 13_000)
        // A separate fleet on the same log appends records, writes a snapshot and stops. The old records are then dropped.
        sim.disconnectLog(sim.agents.values)
        val other = sim.start("b-0", zone = "b", joinFleet = false)
        repeat(300) { sim.publish("s${it % 5}") }
        sim.await("a snapshot", limitMs = 60_000) { other.snapshotsWritten > 0 }
        sim.crash("b-0")
        sim.log.dropBefore(Streams.CONFIG, 305)
        sim.reconnectLog(sim.agents.values)
        sim.awaitVersion(310, limitMs = 20_000)
    }

    /** Guards against a node that cannot start without the log. A peer holds more records than it sends to one requester. */
    @Test
    fun `a node that lacks too many records to receive them one by one takes a snapshot from a peer while the log is down`() {
        val sim = FleetSim(seed = 24)
        sim.start("a-0")
        sim.start("b-0")
        repeat(300) { sim.publish("s${it % 40}") }
        sim.awaitVersion(300, limitMs = 20_000)
        sim.log.isDown = true
        val late = sim.start("c-0")
        sim.awaitVersion(300, limitMs = 13_000)
        expectThat(late.counters.snapshotsApplied.get()).isEqualTo(1)
    }

    /** Guards against snapshot parts of two writers that are mixed up. A partition makes each zone elect a writer of its own. */
    @Test
    fun `two partitioned snapshot writers leave a snapshot that a new node can restore`() {
        val sim = FleetSim(seed = 25)
        sim.startAll(perZone = 1)
        sim.awaitMembers(3, limitMs = 10_000)
        sim.network.partition(sim.addresses("a"), sim.addresses("b"), sim.addresses("c"))
        sim.advance(20_000)
        repeat(800) { sim.publish("s${it % 5}") }
        sim.await("two writers", limitMs = 120_000) { sim.agents.values.count { it.snapshotsWritten > 0 } >= 2 }
        val assembler = SnapshotAssembler()
        sim.log.read(Streams.SNAPSHOTS, 0, 1_000, 0).onRight { page -> page.entries.forEach(assembler::add) }
        expectThat(assembler.refusedRecords).isEqualTo(0)
        expectThat(assembler.newest).isNotNull().get { state.chainHash }.isEqualTo(
            sim.agents.values
                .first()
                .foldState()
                .chainHash,
        )
    }

    /** Guards against a faulty peer whose records change the state of other nodes, or keep them from fetching the correct records. */
    @ParameterizedTest
    @ValueSource(strings = ["payload", "chain", "offset", "order", "unknown-format"])
    fun `tampered records from a peer are refused and the correct records arrive from other nodes`(fault: String) {
        val sim = FleetSim(seed = 26)
        sim.startAll(perZone = 3)
        sim.awaitMembers(9, limitMs = 10_000)
        val tamperingPeer = FleetSim.address("a-1")
        sim.network.tamper =
            { from, _, message -> if (from == tamperingPeer && message is PeerMessage.Records) message.tampered(fault) else message }
        sim.disconnectLog(sim.agents.filterKeys { it != "a-1" }.values)
        sim.publish()
        sim.advance(3_000)
        expectThat(
            sim.agents
                .filterKeys { it != "a-1" }
                .values
                .map { it.foldState().version }
                .distinct(),
        ).isEqualTo(listOf(0L))
        sim.reconnectLog(sim.agents.values)
        repeat(3) { sim.awaitVersion(sim.publish(), limitMs = 13_000) }
        expectThat(sim.agents.values.sumOf { it.counters.refusedRecords.get() }).isGreaterThan(0)
    }

    private fun PeerMessage.Records.tampered(fault: String): PeerMessage.Records =
        copy(
            records =
                records
                    .map {
                        when (fault) {
                            "payload" -> WireRecord(it.offset, it.payload + 1, it.chainHash)
                            "chain" -> WireRecord(it.offset, it.payload, it.chainHash.reversed())
                            "offset" -> WireRecord(it.offset + 1, it.payload, it.chainHash)
                            "unknown-format" -> WireRecord(it.offset, UNKNOWN_FORMAT, it.chainHash)
                            else -> WireRecord(it.offset + 2, it.payload, it.chainHash)
                        }
                    }.reversed(),
        )

    private companion object {
        // CBOR map with "format": 9, an unknown format at which a fold stops.
        val UNKNOWN_FORMAT = byteArrayOf(0xA1.toByte(), 0x66) + "format".toByteArray() + byteArrayOf(9)
    }
}
