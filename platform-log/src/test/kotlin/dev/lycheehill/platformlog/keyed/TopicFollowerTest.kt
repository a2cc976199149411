package dev.lycheehill.platformlog.keyed

import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.platformlog.memory.InMemoryKeyedStore
import dev.lycheehill.platformlog.memory.StoreAccess
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

class TopicFollowerTest {
    private val timers = FakeTimerService()
    private val store = InMemoryKeyedStore(timers, pageSize = 2)
    private val access = StoreAccess()
    private val delivered = ArrayList<String>()
    private val availabilityChanges = ArrayList<String?>()
    private val topic = KeyedTopic.CONFIGURATION
    private val epochs: StoreEpochTracker = StoreEpochTracker { follower.reload() }
    private val follower: TopicFollower =
        TopicFollower(
            store = EpochTrackingStore(store.newClient(access), epochs),
            topic = topic,
            timers = timers,
            settings = FollowerSettings(),
            random = Random(SEED),
            onRecord = { delivered.add("${it.key}=${it.value?.decodeToString()}") },
            onAvailabilityChange = { availabilityChanges.add(it?.reason) },
        )

    private fun write(
        key: String,
        value: String,
    ) = store.write(topic, key, value.encodeToByteArray())

    /** Guards against a start that reads only the first page of the keys and misses the records of the other keys. */
    @Test
    fun `start delivers the newest records of all pages and then each later record`() {
        listOf("a", "b", "c").forEach { write(it, "1") }
        follower.start()
        timers.advance(100)
        write("b", "2")
        timers.advance(100)
        expectThat(delivered).containsExactly("a=1", "b=1", "c=1", "b=2")
        expectThat(follower.isCaughtUp).isTrue()
    }

    /** Guards against a missed record when the store drops older records between two reads, so that the next offset is gone. */
    @Test
    fun `the newest record is delivered after a compaction between two reads`() {
        write("config", "1")
        follower.start()
        timers.advance(100)
        access.isRefusing = true
        timers.advance(20_000)
        write("config", "2")
        write("config", "3")
        store.compact(topic)
        access.isRefusing = false
        timers.advance(2_000)
        expectThat(delivered.last()) isEqualTo "config=3"
    }

    /** Guards against a node that stays behind after the store has recovered, because the delay before its next call is too long. */
    @Test
    fun `the newest record is delivered within two seconds after an outage`() {
        write("config", "1")
        follower.start()
        timers.advance(100)
        access.isRefusing = true
        write("config", "2")
        timers.advance(60_000)
        expectThat(follower.isFailing).isTrue()
        write("config", "3")
        access.isRefusing = false
        timers.advance(2_000)
        expectThat(delivered.last()) isEqualTo "config=3"
        expectThat(availabilityChanges).containsExactly("store refuses", null)
        expectThat(follower.isFailing).isFalse()
    }

    /** Guards against a call for each of many changes in quick succession; the platform charges for each call. */
    @Test
    fun `changes in quick succession are read together`() {
        write("config", "0")
        follower.start()
        timers.advance(1_000)
        val callsBefore = store.callCount
        repeat(25) {
            write("config", "${it + 1}")
            timers.advance(200)
        }
        timers.advance(1_000)
        expectThat(delivered.last()) isEqualTo "config=25"
        expectThat(store.callCount - callsBefore).isLessThanOrEqualTo(8)
    }

    /** Guards against a read that never ends, because the store became unresponsive while the read was waiting for records. */
    @Test
    fun `a read that gets no response is repeated`() {
        write("config", "1")
        follower.start()
        timers.advance(100)
        access.isUnresponsive = true
        timers.advance(1_000)
        write("config", "2")
        access.isUnresponsive = false
        timers.advance(17_000)
        expectThat(delivered.last()) isEqualTo "config=2"
    }

    /** Guards against a missed record whose offset the store has assigned again after a restore. */
    @Test
    fun `restored store delivers a record whose offset it assigned again`() {
        write("config", "1")
        val copy = store.copy()
        follower.start()
        write("config", "2")
        timers.advance(1_000)
        access.isRefusing = true
        timers.advance(1_000)
        store.restore(copy)
        write("config", "3")
        access.isRefusing = false
        timers.advance(2_000)
        expectThat(delivered.last()) isEqualTo "config=3"
    }

    /** Guards against a missed record for each position of the new end of the log: below, at and beyond the awaited offset, which is 4. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 6])
    fun `the newest record is delivered wherever the log of a restored store ends`(recordsAfterRestore: Int) {
        write("config", "1")
        val copy = store.copy()
        listOf("2", "3", "4").forEach { write("config", it) }
        follower.start()
        timers.advance(1_000)
        access.isRefusing = true
        timers.advance(1_000)
        store.restore(copy)
        repeat(recordsAfterRestore) { write("config", "${5 + it}") }
        access.isRefusing = false
        timers.advance(2_000)
        expectThat(delivered.last()) isEqualTo "config=${4 + recordsAfterRestore}"
    }

    /** Guards against a second restore that is taken for the first one. */
    @Test
    fun `the newest record is delivered after two restores in a row`() {
        write("config", "1")
        val copy = store.copy()
        write("config", "2")
        follower.start()
        timers.advance(1_000)
        listOf("3", "4").forEach {
            access.isRefusing = true
            timers.advance(300)
            store.restore(copy)
            write("config", it)
            access.isRefusing = false
            timers.advance(800)
            expectThat(delivered.last()) isEqualTo "config=$it"
        }
    }

    /** Guards against pages that are joined although the store was restored between their reads. */
    @Test
    fun `all pages are read again when the store was restored between two of them`() {
        listOf("a", "b", "c", "d").forEach { write(it, "1") }
        val copy = store.copy()
        listOf("a", "b", "c", "d").forEach { write(it, "2") }
        follower.start()
        timers.advance(5)
        expectThat(delivered).containsExactly("a=2", "b=2")
        store.restore(copy)
        write("a", "3")
        timers.advance(1_000)
        write("b", "4")
        timers.advance(1_000)
        expectThat(delivered.last()) isEqualTo "b=4"
        expectThat(delivered.contains("a=3")).isTrue()
    }

    /** Guards against a read that waits at the store since before a restore and shows it only when the wait ends. */
    @Test
    fun `a read is repeated without a wait when another node reports a restore`() {
        write("config", "1")
        val copy = store.copy()
        write("config", "2")
        follower.start()
        timers.advance(100)
        access.isUnresponsive = true
        store.restore(copy)
        access.isUnresponsive = false
        write("config", "3")
        timers.advance(100)
        expectThat(delivered.last()) isEqualTo "config=2"
        expectThat(epochs.recordReport(store.epoch)).isTrue()
        follower.onRestoreReported()
        timers.advance(100)
        expectThat(delivered.last()) isEqualTo "config=3"
        expectThat(epochs.recordReport(store.epoch)).isFalse()
    }

    private companion object {
        const val SEED = 20261204
    }
}
