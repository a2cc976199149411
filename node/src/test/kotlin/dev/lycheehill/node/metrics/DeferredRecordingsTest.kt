package dev.lycheehill.node.metrics

import dev.lycheehill.core.Verdict
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class DeferredRecordingsTest {
    /** Guards against calls of a node's first seconds that no meter has counted. */
    @Test
    fun `what was kept is recorded in order when it is opened and then at once`() {
        val recorded = ArrayList<Int>()
        val recordings = DeferredRecordings(isImmediate = false)
        repeat(3) { recordings.add { recorded.add(it) } }
        expectThat(recorded).isEmpty()
        recordings.stopDeferring()
        recordings.add { recorded.add(3) }
        expectThat(recorded).containsExactly(0, 1, 2, 3)
    }

    /** Guards against memory that grows while nobody opens. */
    @Test
    fun `at its bound it opens by itself`() {
        var recorded = 0
        val recordings = DeferredRecordings(isImmediate = false)
        repeat(DeferredRecordings.MAX_DEFERRED + 1) { recordings.add { recorded++ } }
        expectThat(recorded) isEqualTo DeferredRecordings.MAX_DEFERRED + 1
        expectThat(recordings.isImmediate) isEqualTo true
    }

    /** Guards against a scrape soon after a start that does not show what has happened so far. */
    @Test
    fun `a scrape shows what was kept`() {
        NodeMetrics(isDeferred = true).use { metrics ->
            repeat(2) { metrics.route("read").recordCall(Verdict.RAN, 1_000_000) }
            expectThat(metrics.scrape()).contains("""route="read",verdict="ran"} 2""")
        }
    }
}
