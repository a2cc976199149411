package dev.lycheehill.platformlog.keyed

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class StoreEpochTrackerTest {
    private val restores = ArrayList<Long>()
    private val tracker = StoreEpochTracker { restores.add(it) }

    /** Guards against a first response that counts as a restore, and against restores that are missed or counted twice. */
    @Test
    fun `each rise of the epoch after the first response is a restore`() {
        listOf(4L, 4L, 5L, 5L, 8L).forEach { expectThat(tracker.observe(it)).isTrue() }
        expectThat(restores).containsExactly(5L, 8L)
    }

    /** Guards against a late response of an earlier epoch that counts as valid or as another restore. */
    @Test
    fun `a response of an earlier epoch is not valid`() {
        listOf(4L, 5L).forEach(tracker::observe)
        expectThat(tracker.observe(4)).isFalse()
        expectThat(tracker.current) isEqualTo 5
        expectThat(restores).containsExactly(5L)
    }

    /** Guards against refusing the responses of a store that reports no epoch. */
    @Test
    fun `responses without an epoch are valid`() {
        listOf(StoreEpoch.UNKNOWN, 4L, StoreEpoch.UNKNOWN).forEach { expectThat(tracker.observe(it)).isTrue() }
        expectThat(restores.isEmpty()).isTrue()
    }

    /** Guards against a wrong report of another node that makes this node refuse the store's responses. */
    @Test
    fun `a report of a later epoch is news once and does not affect the responses that are valid`() {
        expectThat(tracker.recordReport(9)).isFalse()
        tracker.observe(4)
        expectThat(tracker.recordReport(4)).isFalse()
        expectThat(tracker.recordReport(9)).isTrue()
        expectThat(tracker.recordReport(9)).isFalse()
        expectThat(tracker.observe(4)).isTrue()
        expectThat(restores.isEmpty()).isTrue()
    }
}
