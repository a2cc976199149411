package dev.lycheehill.measure.emulator.store

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RestoreEmulationTest {
    /** Guards against configurations and records that stay lost when the store comes back from an older copy, in fleets of each size. */
    @ParameterizedTest
    @CsvSource("13, 0.0, 2000", "13, 0.92, 2000", "13, 1.0, 2000", "13, 0.5, 0", "100, 0.0, 2000", "100, 0.9, 2000")
    fun `nodes recover what a restored store has lost within the bounds`(
        nodes: Int,
        cutShare: Double,
        outageMs: Long,
    ) {
        val summary = RestoreSummary.of(RestoreScenario(nodes, cutShare = cutShare, outageMs = outageMs), (1L..20L).toList())
        println(summary.line())
        expectThat(summary.missed) isEqualTo 0
    }
}
