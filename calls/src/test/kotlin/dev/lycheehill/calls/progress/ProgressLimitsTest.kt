package dev.lycheehill.calls.progress

import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ProgressLimitsTest {
    /** Guards against a non-idempotent call that is given up early, and against a stall of an idempotent call for the whole timeout. */
    @ParameterizedTest
    @CsvSource("2000, true, 10, 280", "2000, true, 1000, 2000", "2000, true, , 2000", "2000, false, 10, 2000")
    fun `only idempotent calls with a known latency have a limit below the timeout`(
        timeoutMs: Long,
        idempotent: Boolean,
        p99Ms: Long?,
        expectedMs: Long,
    ) {
        val limit = ProgressLimits.firstByteNanos(timeoutMs * NANOS_PER_MILLI, idempotent, p99Ms?.times(NANOS_PER_MILLI))
        expectThat(limit).isEqualTo(expectedMs * NANOS_PER_MILLI)
    }

    /** Guards against the reuse of connections that may have stalled, and against the loss of connections that work. */
    @ParameterizedTest
    @CsvSource("0, 10000, true, true", "0, 10001, false, true", "6000, 10001, true, false")
    fun `old and suspect connections are not reused`(
        lastUsedMs: Long,
        nowMs: Long,
        reusable: Boolean,
        suspect: Boolean,
    ) {
        expectThat(ProgressLimits.mayReuse(lastUsedMs * NANOS_PER_MILLI, nowMs * NANOS_PER_MILLI)).isEqualTo(reusable)
        expectThat(ProgressLimits.isSuspect(lastUsedMs * NANOS_PER_MILLI, 5_000 * NANOS_PER_MILLI)).isEqualTo(suspect)
    }
}
