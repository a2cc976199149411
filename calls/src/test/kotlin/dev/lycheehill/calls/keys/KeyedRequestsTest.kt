package dev.lycheehill.calls.keys

import dev.lycheehill.core.Verdict
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.Random
import java.util.concurrent.atomic.AtomicIntegerArray
import kotlin.concurrent.thread

class KeyedRequestsTest {
    private val wall = 1_700_000_000_000L
    private val self = HomeMember("n", 1)

    private fun single(settings: KeySettings = KeySettings()): KeyedRequests =
        KeyedRequests("n", 1, wall, settings).apply { onEpoch(HomeEpoch("d", 1, listOf(self)), 0) }

    private fun KeyedRequests.decide(
        key: String,
        wallMs: Long = wall,
    ) = begin("d", key, 0, wallMs)

    private fun uuid(timeMs: Long) = "%012x".format(timeMs).let { "${it.take(8)}-${it.drop(8)}-7abc-9000-000000000001" }

    /** Guards against a second run of a request, for each outcome of the first attempt. */
    @ParameterizedTest
    @CsvSource(
        ", false, MAY_HAVE_RUN IN_PROGRESS",
        "NOT_RUN, false, execute",
        "MAY_HAVE_RUN, false, MAY_HAVE_RUN REPEATED",
        "RAN, false, RAN REPEATED",
        "RAN, true, replay",
    )
    fun `a repeated key gets the response that follows from the first attempt`(
        verdict: Verdict?,
        stored: Boolean,
        expected: String,
    ) {
        val requests = single()
        val token = (requests.decide("k") as KeyDecision.Execute).token
        if (verdict != null) requests.finish(token, verdict, wall, byteArrayOf(7).takeIf { stored })
        val answer =
            when (val decision = requests.decide("k")) {
                is KeyDecision.Execute -> "execute"
                is KeyDecision.Replay -> "replay"
                is KeyDecision.Refuse -> "${decision.verdict} ${decision.reason}"
            }
        expectThat(answer).isEqualTo(expected)
    }

    /** Guards against an attempt whose late end releases the key of a newer attempt. */
    @Test
    fun `an attempt ends once`() {
        val requests = single()
        val first = (requests.decide("k") as KeyDecision.Execute).token
        requests.finish(first, Verdict.NOT_RUN, wall)
        expectThat(requests.decide("k")).isA<KeyDecision.Execute>()
        requests.finish(first, Verdict.NOT_RUN, wall)
        expectThat(requests.decide("k")).isA<KeyDecision.Refuse>()
    }

    /** Guards against the acceptance of keys whose records may already have been removed, or whose time is too far ahead. */
    @ParameterizedTest
    @CsvSource("0,", "900,", "5000, KEY_AHEAD", "-86000000,", "-86500000, KEY_TOO_OLD")
    fun `a key that carries a time is accepted within the horizon`(
        offsetMs: Long,
        refusal: KeyRefusal?,
    ) {
        val decision = single().decide(uuid(wall + offsetMs))
        expectThat((decision as? KeyDecision.Refuse)?.reason).isEqualTo(refusal)
    }

    /** Guards against keys that are evicted for others and then run again. */
    @Test
    fun `a full table refuses new keys and removes none before the horizon`() {
        val requests = single(KeySettings(maxKeys = 3_000))
        repeat(3_000) { expectThat(requests.decide("k$it")).isA<KeyDecision.Execute>().get { requests.finish(token, Verdict.RAN, wall) } }
        expectThat((requests.decide("new") as KeyDecision.Refuse).reason).isEqualTo(KeyRefusal.TABLE_FULL)
        requests.expire(wall + 24 * 3_600_000L)
        expectThat(requests.size).isEqualTo(3_000)
        expectThat((requests.decide("k0") as KeyDecision.Refuse).verdict).isEqualTo(Verdict.RAN)
        requests.expire(wall + 24 * 3_600_000L + 5_000)
        expectThat(requests.size).isEqualTo(0)
    }

    /** Guards against a home that executes without a majority, with expired vouchers, or before the previous home has stopped. */
    @Test
    fun `a home needs valid vouchers of a majority and the end of the previous home`() {
        val others = listOf(HomeMember("a", 1, weight = 0), HomeMember("b", 1, weight = 0))
        val requests = KeyedRequests("n", 1, wall)
        val before = listOf(HomeMember("a", 1), HomeMember("b", 1), HomeMember("c", 1))
        requests.onEpoch(HomeEpoch("d", 5, others + self, before), 0)

        fun reason(atMs: Long) = (requests.begin("d", uuid(wall + atMs), atMs * 1_000_000, wall + atMs) as? KeyDecision.Refuse)?.reason

        fun vouch(
            atMs: Long,
            member: HomeMember,
            seen: Long,
        ) {
            val (request) = requests.nextRequests(atMs * 1_000_000, wall + atMs).single()
            val reply = VoucherReply(request, member.id, member.bootId, seen, granted = seen == 5L)
            requests.onReply(reply, (atMs + 10) * 1_000_000)
        }
        expectThat(reason(0)).isEqualTo(KeyRefusal.NO_VOUCHERS)
        expectThat(listOf(0L, 4L, 5L).map { requests.mayPropose("d", it) }).isEqualTo(listOf(true, false, false))
        expectThat(requests.mayPropose("other", 1)).isEqualTo(false)
        vouch(0, HomeMember("a", 2), seen = 5)
        expectThat(reason(20)).isEqualTo(KeyRefusal.NO_VOUCHERS)
        vouch(1_000, others[0], seen = 5)
        expectThat(reason(1_020)).isEqualTo(KeyRefusal.HOME_CHANGING)
        vouch(2_000, others[1], seen = 5)
        expectThat(requests.mayPropose("d", 5)).isTrue()
        expectThat(reason(4_999)).isEqualTo(KeyRefusal.HOME_CHANGING)
        expectThat(reason(5_000)).isEqualTo(KeyRefusal.NO_VOUCHERS)
        vouch(6_000, others[0], seen = 5)
        expectThat(reason(6_020)).isEqualTo(KeyRefusal.RECORD_LOST)
        vouch(9_000, others[0], seen = 5)
        expectThat(reason(9_500)).isNull()
        vouch(10_000, others[0], seen = 6)
        expectThat(reason(12_001)).isEqualTo(KeyRefusal.NO_VOUCHERS)
    }

    /** Guards against a domain whose requests stay refused after an operator has stated that the old members are gone. */
    @Test
    fun `a reset needs no acknowledgements but keeps the wait and the bound`() {
        val requests = KeyedRequests("n", 1, wall)
        requests.onEpoch(HomeEpoch("d", 5, listOf(self), listOf(HomeMember("a", 1)), reset = true), 0)

        fun reason(
            atMs: Long,
            key: String,
        ) = (requests.begin("d", key, atMs * 1_000_000, wall + atMs) as? KeyDecision.Refuse)?.reason
        expectThat(reason(3_499, "k")).isEqualTo(KeyRefusal.HOME_CHANGING)
        expectThat(reason(3_500, "k")).isEqualTo(KeyRefusal.RECORD_LOST)
        expectThat(reason(3_500, uuid(wall + 3_500))).isEqualTo(KeyRefusal.RECORD_LOST)
        expectThat(reason(6_600, uuid(wall + 6_600))).isNull()
    }

    /** Guards against a hand-over that counts as complete although some of its keys are missing. */
    @Test
    fun `only all parts of one transfer complete a hand-over`() {
        val from = HomeMember("a", 1)
        val requests = KeyedRequests("n", 1, wall)
        requests.onEpoch(HomeEpoch("d", 5, listOf(self), listOf(from)), 0)

        fun hand(
            transfer: Long,
            part: Int,
            vararg keys: HandedKey,
        ) = requests.onHandOver(HandOverPart("d", 5, from, self, transfer, part, parts = 2, boundMs = null, keys.toList()))
        hand(1, 0, HandedKey(KeyHash.of("d", "ran"), ran = true, wall))
        hand(2, 1, HandedKey(KeyHash.of("d", "unsure"), ran = false, wall))
        expectThat((requests.decide("new") as KeyDecision.Refuse).reason).isEqualTo(KeyRefusal.HOME_CHANGING)
        hand(2, 0)
        expectThat(requests.decide("new")).isA<KeyDecision.Execute>()
        expectThat((requests.decide("ran") as KeyDecision.Refuse).verdict).isEqualTo(Verdict.RAN)
        expectThat((requests.decide("unsure") as KeyDecision.Refuse).verdict).isEqualTo(Verdict.MAY_HAVE_RUN)
    }

    /** Guards against lost or confused keys in the compact table, by a comparison with a hash map. */
    @Test
    fun `the table holds the same keys and states as a map`() {
        val random = Random(SEED)
        println("seed=$SEED")
        val table = KeyTable(maxKeys = 2_000, startWallMs = wall)
        val model = HashMap<KeyHash, KeyState>()
        repeat(50_000) {
            // Few hash values, so that keys collide and clusters of slots wrap around.
            val key = KeyHash(random.nextInt(3_000).toLong() * 7 % 1_500 - 100, random.nextInt(3).toLong())
            if (random.nextInt(3) == 0) {
                table.remove(key)
                model.remove(key)
            } else {
                val state = KeyState.entries[random.nextInt(3)]
                val isFull = key !in model && model.size >= 2_000
                expectThat(table.put(key, 1, state, wall)).isEqualTo(!isFull)
                if (!isFull) model[key] = state
            }
        }
        val held = HashMap<KeyHash, KeyState>()
        table.forEach(1) { key, state, _ -> held[key] = state }
        expectThat(held).isEqualTo(model)
        expectThat(model.all { (key, state) -> table.state(key) == state }).isTrue()
    }

    /** Guards against two event loops that both execute a request with the same key. */
    @Test
    fun `exactly one of several concurrent requests with the same key executes`() {
        val requests = single()
        val executed = AtomicIntegerArray(5_000)
        val workers =
            List(4) {
                thread {
                    for (index in 0 until 5_000) if (requests.decide("k$index") is KeyDecision.Execute) executed.incrementAndGet(index)
                }
            }
        workers.forEach(Thread::join)
        expectThat((0 until 5_000).count { executed[it] != 1 }).isEqualTo(0)
    }

    /** Guards against stored responses that use up the memory of the node. */
    @Test
    fun `stored responses are bounded`() {
        val responses = StoredResponses(maxBytes = 10, maxTotalBytes = 100)
        responses.put(KeyHash(0, 0), ByteArray(11))
        for (index in 1..100L) responses.put(KeyHash(index, 0), ByteArray(10))
        expectThat((0..100L).count { responses.get(KeyHash(it, 0)) != null }).isEqualTo(10)
        expectThat(responses.get(KeyHash(100, 0))).isNotNull()
    }

    /** Guards against a weight that does not change the share of a member, and against keys that move needlessly. */
    @Test
    fun `homes follow the weights and keys move only to a member that gained weight`() {
        val before = HomeEpoch("d", 1, listOf(HomeMember("a", 1), HomeMember("b", 1), HomeMember("c", 1, weight = 2)))
        val after = HomeEpoch("d", 2, before.members.map { if (it.id == "a") it.copy(weight = 2) else it }, before.members)
        val keys = List(20_000) { KeyHash.of("d", "k$it") }
        val shareOfC = keys.count { before.homeOf(it)!!.id == "c" } / 20_000.0
        expectThat(Math.abs(shareOfC - 0.5)).isLessThan(0.02)
        keys.filter { before.homeOf(it)!!.id != after.homeOf(it)!!.id }.forEach { expectThat(after.homeOf(it)!!.id).isEqualTo("a") }
    }

    private companion object {
        const val SEED = 20_261_204L
    }
}
