package dev.lycheehill.config.home

import dev.lycheehill.config.fold.LogBuilder
import dev.lycheehill.config.log.HomeEpochRecord
import dev.lycheehill.config.log.RecordCodec
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class HomeEpochFoldTest {
    private val first = listOf(HomeAssignment("a", 1, 100), HomeAssignment("b", 1, 100))
    private val second = listOf(HomeAssignment("b", 1, 100), HomeAssignment("c", 1, 100))

    /** Guards against two proposers that both take their own proposal for the current epoch. */
    @Test
    fun `of two proposals for one epoch the first in the log is accepted`() {
        val log = LogBuilder().append(record(0, first)).append(record(1, second)).append(record(1, first))
        expectThat(log.state.homes["orders"]).isEqualTo(DomainHomes(epoch = 2, members = second, previousMembers = first))
    }

    /** Guards against a home epoch that makes patches fail because their base version is no longer current. */
    @Test
    fun `a home epoch makes no configuration version`() {
        expectThat(LogBuilder().append(record(0, first)).state) {
            get { version }.isEqualTo(0)
            get { nextOffset }.isEqualTo(1)
        }
    }

    /** Guards against a record that makes the fold throw an exception or hold an unbounded state. */
    @ParameterizedTest
    @MethodSource("invalid")
    fun `an invalid home epoch is counted as malformed and ignored`(record: HomeEpochRecord) {
        expectThat(LogBuilder().append(RecordCodec.encode(record)).state) {
            get { homes.size }.isEqualTo(0)
            get { malformedRecords }.isEqualTo(1)
        }
    }

    private fun record(
        previousEpoch: Long,
        members: List<HomeAssignment>,
    ): ByteArray = RecordCodec.encode(HomeEpochRecord(domain = "orders", previousEpoch = previousEpoch, members = members))

    private companion object {
        @JvmStatic
        fun invalid() =
            listOf(
                HomeEpochRecord(domain = "", previousEpoch = 0, members = emptyList()),
                HomeEpochRecord(domain = "d".repeat(HomeLimits.MAX_DOMAIN_CHARS + 1), previousEpoch = 0, members = emptyList()),
                HomeEpochRecord(domain = "d", previousEpoch = 0, members = listOf(HomeAssignment("a", 1, -1))),
                HomeEpochRecord(domain = "d", previousEpoch = 0, members = List(2) { HomeAssignment("a", it.toLong(), 1) }),
                HomeEpochRecord(
                    domain = "d",
                    previousEpoch = 0,
                    members = List(HomeLimits.MAX_MEMBERS + 1) { HomeAssignment("n$it", 1, 1) },
                ),
            )
    }
}
