package dev.lycheehill.node.metrics

import dev.lycheehill.core.Verdict
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class DeferredRecordingsTest {
    /** Guards against losing the metrics that a node records before it stops deferring them. */
    @Test
    fun `deferred recordings run in order when the deferral stops, and later recordings run immediately`() {
        val recorded = ArrayList<Int>()
        val recordings = DeferredRecordings(isImmediate = false)
        repeat(3) { recordings.add { recorded.add(it) } }
        expectThat(recorded).isEmpty()
        recordings.stopDeferring()
        recordings.add { recorded.add(3) }
        expectThat(recorded).containsExactly(0, 1, 2, 3)
    }

    /** Guards against unbounded memory use if the deferral is never stopped. */
    @Test
    fun `the deferral stops when the maximum number of recordings is deferred`() {
        var recorded = 0
        val recordings = DeferredRecordings(isImmediate = false)
        repeat(DeferredRecordings.MAX_DEFERRED + 1) { recordings.add { recorded++ } }
        expectThat(recorded) isEqualTo DeferredRecordings.MAX_DEFERRED + 1
        expectThat(recordings.isImmediate) isEqualTo true
    }

    /** Guards against a scrape that does not include the recordings deferred since the start of the node. */
    @Test
    fun `a scrape includes the deferred recordings`() {
        NodeMetrics(isDeferred = true).use { metrics ->
            repeat(2) { metrics.route("read").recordCall(Verdict.RAN, 1_000_000) }
            expectThat(metrics.scrape()).contains("""route="read",verdict="ran"} 2""")
        }
    }
}
