package dev.lycheehill.core

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class VerdictTest {
    @ParameterizedTest
    @CsvSource(
        "not-run, NOT_RUN",
        "ran, RAN",
        "may-have-run, MAY_HAVE_RUN",
        "'', MAY_HAVE_RUN",
        "NOT-RUN, MAY_HAVE_RUN",
        ", MAY_HAVE_RUN",
    )
    fun `a missing or unknown header value is read as may have run`(
        header: String?,
        expected: Verdict,
    ) {
        expectThat(Verdict.fromHeader(header)).isEqualTo(expected)
    }
}
