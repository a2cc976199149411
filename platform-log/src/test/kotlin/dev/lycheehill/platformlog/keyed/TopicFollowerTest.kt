package dev.lycheehill.platformlog.keyed

import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.platformlog.memory.InMemoryKeyedStore
import dev.lycheehill.platformlog.memory.StoreAccess
import org.junit.jupiter.api.Test
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
    private val seen = ArrayList<String>()
    private val links = ArrayList<String?>()
    private val topic = KeyedTopic.CONFIGURATION
    private val follower =
        TopicFollower(
            store = store.viewOf(access),
            topic = topic,
            timers = timers,
            settings = FollowerSettings(),
            random = Random(SEED),
            onRecord = { seen.add("${it.key}=${it.value?.decodeToString()}") },
            onAvailabilityChange = { links.add(it?.reason) },
        )

    private fun write(
        key: String,
        value: String,
    ) = store.write(topic, key, value.encodeToByteArray())

    /** Guards against a start that sees only the first page of the keys. */
    @Test
    fun `a start reads all pages and then each later record`() {
        listOf("a", "b", "c").forEach { write(it, "1") }
        follower.start()
        timers.advance(100)
        write("b", "2")
        timers.advance(100)
        expectThat(seen).containsExactly("a=1", "b=1", "c=1", "b=2")
        expectThat(follower.isCaughtUp).isTrue()
    }

    /** Guards against a record that is missed because history was dropped between two reads. */
    @Test
    fun `a compaction between two reads loses no newest record`() {
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
        expectThat(seen.last()) isEqualTo "config=3"
    }

    /** Guards against a node that stays behind after the store is back. */
    @Test
    fun `after an outage the newest record arrives within two seconds`() {
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
        expectThat(seen.last()) isEqualTo "config=3"
        expectThat(links).containsExactly("store refuses", null)
        expectThat(follower.isFailing).isFalse()
    }

    /** Guards against one priced call for each of many changes in quick succession. */
    @Test
    fun `changes in quick succession are read together`() {
        write("config", "0")
        follower.start()
        timers.advance(1_000)
        val before = store.callCount
        repeat(25) {
            write("config", "${it + 1}")
            timers.advance(200)
        }
        timers.advance(1_000)
        expectThat(seen.last()) isEqualTo "config=25"
        expectThat(store.callCount - before).isLessThanOrEqualTo(8)
    }

    /** Guards against a read that waits for ever at a store that has fallen silent. */
    @Test
    fun `a silent store is noticed and read again`() {
        write("config", "1")
        follower.start()
        timers.advance(100)
        access.isUnresponsive = true
        timers.advance(1_000)
        write("config", "2")
        access.isUnresponsive = false
        timers.advance(17_000)
        expectThat(seen.last()) isEqualTo "config=2"
    }

    private companion object {
        const val SEED = 20261204
    }
}
