package dev.lycheehill.fleet.membership

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

class MemberTableTest {
    @ParameterizedTest
    @CsvSource(
        "1, READY,    1, COLD,     1, READY",
        "1, READY,    1, SUSPECT,  1, SUSPECT",
        "1, SUSPECT,  1, READY,    1, SUSPECT",
        "1, SUSPECT,  2, COLD,     2, COLD",
        "1, DRAINING, 1, SUSPECT,  1, DRAINING",
        "2, COLD,     1, GONE,     2, COLD",
        "1, GONE,     1, READY,    1, GONE",
        "1, GONE,     2, READY,    2, READY",
    )
    fun `the higher incarnation wins, then the later state, in either order of arrival`(
        incarnation1: Long,
        state1: MemberState,
        incarnation2: Long,
        state2: MemberState,
        incarnation: Long,
        state: MemberState,
    ) {
        val records = listOf(record("a", incarnation1, state1), record("a", incarnation2, state2))
        listOf(records, records.reversed()).forEach { order ->
            val table = MemberTable()
            order.forEach { table.merge(it, nowMs = 0) }
            val known = table.live["a"] ?: table.goneRecord("a")
            expectThat(known).isNotNull().isEqualTo(record("a", incarnation, state))
        }
    }

    /** Guards against equal tables with different hashes, which anti-entropy would compare again and again. */
    @Test
    fun `records in any order lead to equal hashes, and a gone member no longer affects them`() {
        val seed = 11
        println("seed=$seed")
        val random = Random(seed)
        val records = (1..200).map { record("n${it % 40}", random.nextLong(4), MemberState.entries.random(random)) }
        val first = MemberTable().apply { records.forEach { merge(it, nowMs = 0) } }
        val second = MemberTable().apply { records.shuffled(random).forEach { merge(it, nowMs = 0) } }
        expectThat(second.hash()).isEqualTo(first.hash())
        expectThat(second.zoneHash("z")).isEqualTo(first.zoneHash("z"))
        expectThat(second.live).isEqualTo(first.live)
        first.live.values.forEach { first.merge(it.copy(state = MemberState.GONE), nowMs = 0) }
        expectThat(first.hash()).isEqualTo(MemberTable().hash())
    }

    /** Guards against a late record that brings a gone member back. */
    @Test
    fun `a gone member cannot return with the same incarnation until its retention has passed`() {
        val table = MemberTable(goneRetentionMs = 600_000)
        table.merge(record("a", 1, MemberState.GONE), nowMs = 0)
        table.expire(nowMs = 599_999)
        expectThat(table.merge(record("a", 1, MemberState.READY), nowMs = 599_999)).isEqualTo(false)
        table.expire(nowMs = 600_000)
        expectThat(table.goneRecord("a")).isNull()
        expectThat(table.merge(record("a", 1, MemberState.READY), nowMs = 600_000)).isEqualTo(true)
    }

    @ParameterizedTest
    @CsvSource("1, true", "2, false")
    fun `a zone is lost when its last member failed, not when that member left`(
        goneIncarnation: Long,
        lost: Boolean,
    ) {
        val table = MemberTable()
        table.merge(record("a", 1, MemberState.READY), nowMs = 0)
        table.merge(record("a", goneIncarnation, MemberState.GONE), nowMs = 0)
        expectThat(table.lostZones()).isEqualTo(if (lost) setOf("z") else emptySet())
        table.merge(record("b", 1, MemberState.READY), nowMs = 0)
        expectThat(table.lostZones()).isEqualTo(emptySet())
    }

    private fun record(
        id: String,
        incarnation: Long,
        state: MemberState,
    ) = MemberRecord(id, incarnation, state, "z", "r", "s", "127.0.0.1:1", "127.0.0.1:2", 1)
}
