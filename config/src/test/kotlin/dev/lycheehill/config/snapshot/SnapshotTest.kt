package dev.lycheehill.config.snapshot

import arrow.core.Either
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.fold.LogBuilder
import dev.lycheehill.config.fold.service
import dev.lycheehill.config.home.DomainHomes
import dev.lycheehill.config.home.HomeAssignment
import dev.lycheehill.config.log.LogEntry
import kotlinx.collections.immutable.toPersistentMap
import org.junit.jupiter.api.Named.named
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contentEquals
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

class SnapshotTest {
    /** Guards against parts that lose state, and against writers whose snapshots of one state differ. */
    @Test
    fun `a snapshot is equal after encoding and decoding, and equal states give equal bytes`() {
        val state = state(40)
        val parts = encode(state)
        expectThat(parts).hasSize(3).all { get { size }.isLessThanOrEqualTo(SnapshotLimits.MAX_PART_BYTES) }
        val joined = SnapshotCodec.join(parts.shuffled(Random(5)).map { SnapshotCodec.decodePart(it)!! })
        expectThat(joined).isA<Either.Right<Snapshot>>().get { value }.and {
            get { this.state }.isEqualTo(state)
        }
        val again = encode(joined.getOrNull()!!.state)
        again.forEachIndexed { index, bytes -> expectThat(bytes).contentEquals(parts[index]) }
    }

    /** Guards against a node that adopts a state joined from damaged parts or from parts of different snapshots. */
    @ParameterizedTest
    @MethodSource("damages")
    fun `damaged, missing or mixed parts are rejected`(
        expected: SnapshotError?,
        change: (List<ByteArray>, List<ByteArray>) -> List<ByteArray>,
    ) {
        val parts = encode(state(40))
        val other = encode(state(41))
        val decoded = change(parts, other).map { SnapshotCodec.decodePart(it) }
        val result = if (null in decoded) null else SnapshotCodec.join(decoded.filterNotNull()).leftOrNull()
        expectThat(result).isEqualTo(expected)
    }

    /** Guards against snapshots that are lost when several writers append at the same time, and against a return to an older snapshot. */
    @Test
    fun `interleaved parts give the newest complete snapshot and an older snapshot is ignored`() {
        val assembler = SnapshotAssembler()
        val old = encode(state(40))
        val new = encode(state(41))
        val order = listOf(old[0], new[0], ByteArray(9), new[1], old[1], new[2], old[2])
        order.forEachIndexed { index, bytes -> assembler.add(LogEntry(index.toLong(), bytes)) }
        expectThat(assembler.newest?.state).isEqualTo(state(41))
        expectThat(assembler.refusedRecords).isEqualTo(1)
        old.forEach { expectThat(assembler.add(LogEntry(9, it))).isNull() }
    }

    /** Guards against a node that stays stopped although its release knows the format at which another node stopped. */
    @Test
    fun `the snapshot of a stopped state is restored without the reason of the stop`() {
        val stopped = state(3).copy(stoppedReason = "format 2")
        expectThat(SnapshotCodec.join(encode(stopped).map { SnapshotCodec.decodePart(it)!! }).getOrNull()?.state).isEqualTo(state(3))
    }

    /** Guards against a node that returns to an older version or adopts the state of a different log. */
    @ParameterizedTest
    @MethodSource("restores")
    fun `a snapshot is applied only when it extends the node's own state`(
        current: FoldState,
        offered: FoldState,
        expected: SnapshotError?,
    ) {
        expectThat(SnapshotRestorer.apply(current, Snapshot(offered)).leftOrNull()).isEqualTo(expected)
    }

    /** Guards against a node that cannot continue after the log has dropped its next record. */
    @Test
    fun `a node whose next record is no longer retained continues from the newest applicable snapshot`() {
        val current = state(5)
        expectThat(SnapshotRestorer.isNeeded(current, firstRetainedOffset = 6)).isEqualTo(true)
        val offered = listOf(3, 9, 7).map { Snapshot(state(it)) } + Snapshot(state(12, firstTimeoutMs = 77))
        val restored = SnapshotRestorer.restoreNewest(current, offered)
        expectThat(restored).isEqualTo(state(9))
        val log = LogBuilder(restored)
        expectThat(log.append(log.patch(service("s10", 10))).state.version).isEqualTo(10)
    }

    private fun encode(state: FoldState): List<ByteArray> = SnapshotCodec.encode(Snapshot(state)).getOrNull()!!

    companion object {
        /** Enough home epochs for a snapshot of three parts. */
        private val homes =
            (1..2_000)
                .associate { index ->
                    val members = List(3) { HomeAssignment("node-$index-$it", bootId = index.toLong(), weight = 100) }
                    "domain-$index" to DomainHomes(epoch = index.toLong(), members = members)
                }.toPersistentMap()

        /** Returns the state after [records] accepted patches, with [homes]. */
        fun state(
            records: Int,
            firstTimeoutMs: Int = 1,
        ): FoldState {
            val log = LogBuilder()
            log.state = log.state.copy(homes = homes)
            repeat(records) { log.append(log.patch(service("s$it", if (it == 0) firstTimeoutMs else it))) }
            return log.state
        }

        @JvmStatic
        fun damages() =
            listOf(
                damage("no parts", SnapshotError.INCOMPLETE) { _, _ -> emptyList() },
                damage("a missing part", SnapshotError.INCOMPLETE) { parts, _ -> parts.drop(1) },
                damage("a part twice", SnapshotError.INCOMPLETE) { parts, _ -> parts + parts[0] },
                damage("a part of another snapshot", SnapshotError.MIXED) { parts, other -> parts.dropLast(1) + other.last() },
                damage("a flipped bit", SnapshotError.CORRUPT) { parts, _ ->
                    listOf(parts[0], parts[1].clone().also { it[90_000] = (it[90_000] + 1).toByte() }, parts[2])
                },
                damage("a truncated part", null) { parts, _ -> listOf(parts[0], parts[1].copyOf(500), parts[2]) },
                damage("bytes that are not a part", null) { parts, _ -> parts + ByteArray(20) },
            )

        private fun damage(
            name: String,
            expected: SnapshotError?,
            change: (List<ByteArray>, List<ByteArray>) -> List<ByteArray>,
        ) = arguments(expected, named(name, change))

        @JvmStatic
        fun restores() =
            listOf(
                arguments(named("ahead", state(5)), state(6), null),
                arguments(named("ahead of the initial state", FoldState.initial()), state(6), null),
                arguments(named("behind", state(5)), state(4), SnapshotError.OLDER),
                arguments(named("equal", state(5)), state(5), SnapshotError.OLDER),
                arguments(named("equal offset, other records", state(5)), state(5, firstTimeoutMs = 9), SnapshotError.DIVERGED),
                arguments(named("ahead with another first version", state(5)), state(6, firstTimeoutMs = 9), SnapshotError.DIVERGED),
                arguments(
                    named("ahead with a lower version", state(5)),
                    LogBuilder(state(4)).append(ByteArray(1)).append(ByteArray(1)).state,
                    SnapshotError.DIVERGED,
                ),
            )
    }
}
