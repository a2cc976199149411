package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AttemptStageTest {
    /** Guards against the verdict `not run` on a request that may have run, which would then be repeated. */
    @ParameterizedTest
    @CsvSource(
        "NOT_SENT, , NOT_RUN",
        "CONNECT_REFUSED, , NOT_RUN",
        "CLOSED_BEFORE_WRITE, , NOT_RUN",
        "PARTLY_WRITTEN, , MAY_HAVE_RUN",
        "PARTLY_WRITTEN, not-run, MAY_HAVE_RUN",
        "WRITTEN, , MAY_HAVE_RUN",
        "WRITTEN, ran, MAY_HAVE_RUN",
        "WHOLE_ANSWER, not-run, RAN",
        "NODE_ANSWER, not-run, NOT_RUN",
        "NODE_ANSWER, ran, RAN",
        "NODE_ANSWER, , MAY_HAVE_RUN",
        "NODE_ANSWER, no, MAY_HAVE_RUN",
    )
    fun `the stage and the header of the node give the verdict`(
        stage: AttemptStage,
        header: String?,
        expected: Verdict,
    ) {
        expectThat(stage.verdict(header)).isEqualTo(expected)
    }
}
