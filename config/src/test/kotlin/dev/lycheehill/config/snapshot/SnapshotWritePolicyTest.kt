package dev.lycheehill.config.snapshot

import dev.lycheehill.core.hash.Rendezvous
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class SnapshotWritePolicyTest {
    private val readerIds = List(9) { "node-$it" }

    /** Guards against a missing snapshot, many simultaneous writers, and a writer with an outdated view of the log. */
    @ParameterizedTest(name = "rank {0}, {1} records, {2} s since the newest, view {3} ms old: {4}")
    @CsvSource(
        "0, 255, 3599, 0, WAIT",
        "0, 256, 0, 0, WRITE",
        "0, 0, 3600, 0, WRITE",
        "0, 256, 0, 5000, WRITE",
        "0, 256, 0, 5001, CATCH_UP",
        "0, -1, 3600, 0, CATCH_UP",
        "0, -1, 0, 0, WAIT",
        "1, 256, 3600, 0, WAIT",
        "1, 512, 0, 0, WRITE",
        "1, 0, 3900, 0, WRITE",
        "8, 2303, 5999, 0, WAIT",
        "-1, 9999, 9999, 0, WAIT",
    )
    fun `a reader writes when a snapshot is due at its rank`(
        rank: Int,
        records: Long,
        ageSeconds: Long,
        viewAgeMs: Long,
        expected: SnapshotDecision,
    ) {
        val nowMs = 100_000_000L
        val view =
            SnapshotWriterView(
                nodeId = Rendezvous.rank("snapshots", readerIds).getOrElse(rank) { "no reader" },
                readerIds = readerIds,
                position = SnapshotPosition(config = 10_000),
                newest = KnownSnapshot(SnapshotPosition(config = 10_000 - records), seenAtMs = nowMs - ageSeconds * 1_000),
                followedAtMs = nowMs - viewAgeMs,
            )
        expectThat(SnapshotWritePolicy.decide(view, nowMs)).isEqualTo(expected)
    }
}
