package dev.lycheehill.calls.quarantine

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.Random

class CrashQuarantineTest {
    private val fingerprint = RequestFingerprint.of("POST", "/cards?id=7", byteArrayOf(1, 2))

    private fun crash(
        node: String,
        atS: Long,
    ) = CrashEvidence(fingerprint, node, 1, atS * 1_000)

    private fun success(atS: Long) = SuccessEvidence(fingerprint, "s", atS * 1_000)

    /**
     * Guards against the quarantine of requests that are not at fault, and against a request that continues to crash targets.
     * An event is `c` for a crash, with a node, or `s` for a success, and a time in seconds.
     */
    @ParameterizedTest
    @CsvSource(
        "c a 100, 101, false",
        "c a 100; c a 110, 111, false",
        "c a 100; c b 110, 111, true",
        "c b 110; c a 100; c b 110, 111, true",
        "c a 100; s 105; c b 200, 201, false",
        "c a 100; c b 110; s 115, 116, false",
        "s 95; c a 100; c b 110, 111, false",
        "s 30; c a 100; c b 110, 111, true",
        "c a 100; s 105; c b 400; c a 410, 411, true",
        "c a 100; c b 110, 709, true",
        "c a 100; c b 110, 711, false",
        "c a 100; c b 701, 702, false",
    )
    fun `a request is quarantined after crashes of two targets with no success`(
        events: String,
        nowS: Long,
        expected: Boolean,
    ) {
        val quarantine = CrashQuarantine()
        for (event in events.split("; ").map { it.split(" ") }) {
            val atS = event.last().toLong()
            if (event[0] == "c") quarantine.onCrash(crash(event[1], atS), atS * 1_000) else quarantine.onSuccess(success(atS), atS * 1_000)
            quarantine.expire(atS * 1_000)
        }
        quarantine.expire(nowS * 1_000)
        expectThat(quarantine.isQuarantined(fingerprint, nowS * 1_000)).isEqualTo(expected)
    }

    /** Guards against nodes that disagree because evidence reached them in different orders or twice. */
    @Test
    fun `the order of evidence does not matter`() {
        val random = Random(SEED)
        println("seed=$SEED")
        repeat(500) {
            val events = List(4) { random.nextInt(200).toLong() to random.nextInt(4) }
            val states =
                List(2) {
                    val quarantine = CrashQuarantine()
                    for ((atS, kind) in (events + events.take(2)).shuffled(random)) {
                        if (kind > 0) quarantine.onCrash(crash("n$kind", atS), 200_000) else quarantine.onSuccess(success(atS), 200_000)
                    }
                    quarantine.isQuarantined(fingerprint, 200_000)
                }
            expectThat(states[0]).isEqualTo(states[1])
        }
    }

    /** Guards against a quarantine that an operator cannot see or end, and against old evidence that renews a lifted quarantine. */
    @Test
    fun `an entry is listed and lifted`() {
        val quarantine = CrashQuarantine()
        quarantine.onCrash(crash("a", 100), 100_000)
        expectThat(quarantine.onCrash(crash("b", 101), 101_000)).isTrue()
        expectThat(quarantine.onCrash(crash("b", 101), 101_000)).isFalse()
        expectThat(quarantine.list(102_000).single().nodeIds).isEqualTo(setOf("a", "b"))
        expectThat(RequestFingerprint.parse(fingerprint.toString())).isEqualTo(fingerprint)
        expectThat(RequestFingerprint.parse("xyz")).isNull()
        expectThat(quarantine.lift(fingerprint, 103_000)).isTrue()
        quarantine.onCrash(crash("a", 100), 104_000)
        quarantine.onCrash(crash("c", 102), 104_000)
        expectThat(quarantine.isQuarantined(fingerprint, 104_000)).isFalse()
        quarantine.onCrash(crash("a", 105), 105_000)
        quarantine.onCrash(crash("b", 106), 106_000)
        expectThat(quarantine.isQuarantined(fingerprint, 106_000)).isTrue()
    }

    /** Guards against unbounded growth, and against state that never expires. */
    @Test
    fun `the state is bounded and expires`() {
        val quarantine = CrashQuarantine(QuarantineSettings(maxEntries = 10, maxSuspects = 20))
        for (index in 1..100L) {
            for (node in listOf("a", "b")) quarantine.onCrash(CrashEvidence(RequestFingerprint(index, 0), node, 1, index), index)
        }
        expectThat(quarantine.list(100).size).isLessThanOrEqualTo(10)
        quarantine.expire(700_000)
        expectThat(quarantine.list(700_000)).hasSize(0)
        expectThat(quarantine.isSuspect(RequestFingerprint(100, 0))).isFalse()
    }

    /** Guards against a frequent request that cannot be cleared because its successes were not recorded. */
    @Test
    fun `recent successes are found until they are overwritten`() {
        val recent = RecentSuccesses(slots = 2)
        recent.add(fingerprint, 5_000)
        expectThat(recent.lastMs(fingerprint)).isEqualTo(5_000)
        recent.add(fingerprint.copy(low = fingerprint.low + 1), 6_000)
        expectThat(recent.lastMs(fingerprint)).isNull()
    }

    private companion object {
        const val SEED = 20_261_204L
    }
}
