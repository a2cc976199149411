package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.KeyDecision
import dev.lycheehill.core.Verdict
import dev.lycheehill.platformlog.memory.LogFaults
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.UUID

/** Tests with several nodes that share a fake clock, an in-memory network and an in-memory log. */
class KeyHomeManagerTest {
    private val cluster = KeyHomeTestCluster(seed = 71)

    @Test
    fun `the first request of a domain leads to homes, and a key runs once at one of them`() {
        cluster.startAll("a", "b", "c")
        expectThat(cluster.homeOf("a", "k1")).isNull()
        cluster.advance(3_000)
        val home = expectThat(cluster.homeOf("a", "k1")).isNotNull().subject
        cluster.advance(3_000)
        expectThat(
            cluster.nodes.keys
                .map { cluster.homeOf(it, "k1") }
                .distinct(),
        ).isEqualTo(listOf(home))
        cluster.nodes.keys.filter { it != home }.forEach { other ->
            expectThat(cluster.begin(other, "k1")).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.NOT_RUN)
        }
        expectThat(cluster.run(home, "k1")).isA<KeyDecision.Execute>()
        expectThat(cluster.begin(home, "k1")).isA<KeyDecision.Replay>().get { StoredResponse.decode(response).status }.isEqualTo(201)
    }

    /**
     * Guards against two failures after the crash of a home: a request that ran there runs again at the new home of its key, or
     * the domain stays unavailable.
     */
    @Test
    fun `after the crash of a home its keys move, earlier keys may have run and new keys run`() {
        cluster.startAll("a", "b", "c")
        val (home, old) = cluster.establishedKey()
        expectThat(cluster.run(home, old)).isA<KeyDecision.Execute>()
        cluster.crash(home)
        cluster.advance(30_000)
        val next = cluster.homeOf(cluster.nodes.keys.first(), old)!!
        expectThat(next).isNotEqualTo(home)
        expectThat(cluster.begin(next, old)).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.MAY_HAVE_RUN)
        expectThat(cluster.runs(cluster.newKey())).isEqualTo(true)
    }

    /** Guards against a drain after which the new home of a key does not know that the request with the key ran already. */
    @Test
    fun `a draining home hands its keys over to the new homes`() {
        cluster.startAll("a", "b", "c")
        val (home, key) = cluster.establishedKey()
        expectThat(cluster.run(home, key)).isA<KeyDecision.Execute>()
        cluster.drain(home)
        cluster.advance(8_000)
        expectThat(
            cluster.nodes
                .getValue(home)
                .homes.isReleased,
        ).isEqualTo(true)
        val next = cluster.homeOf(home, key)!!
        expectThat(next).isNotEqualTo(home)
        expectThat(cluster.begin(next, key)).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.RAN)
        val opaque = "an opaque key that no home has seen"
        expectThat(cluster.runs(opaque)).isEqualTo(true)
    }

    @Test
    fun `a home that is partitioned from the others stops executing requests, and the majority continues`() {
        cluster.startAll("a", "b", "c")
        val (home, _) = cluster.establishedKey()
        cluster.isolate(home)
        cluster.advance(3_100)
        expectThat(cluster.begin(home, cluster.newKeyOf(home))).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.NOT_RUN)
        cluster.advance(30_000)
        val others = cluster.nodes.keys - home
        expectThat(cluster.runs(cluster.newKey(), viewedBy = others.first())).isEqualTo(true)
    }

    /** Guards against homes that stop executing requests during an outage of the log, although no new epoch can be appended then. */
    @Test
    fun `homes keep executing requests while the log is down`() {
        cluster.startAll("a", "b", "c")
        cluster.establishedKey()
        cluster.log.faults = LogFaults(outage = true)
        repeat(20) {
            cluster.advance(60_000)
            cluster.nodes.keys.forEach { home -> expectThat(cluster.run(home, cluster.newKeyOf(home))).isA<KeyDecision.Execute>() }
        }
    }

    /**
     * Guards against two failures: the vouchers of an unused domain are renewed forever, or a domain stays unavailable after it
     * was idle.
     */
    @Test
    fun `the first request after a domain was idle is refused, and the key runs after the next round of vouchers`() {
        cluster.startAll("a", "b", "c")
        cluster.establishedKey()
        cluster.advance(700_000)
        val key = cluster.newKey()
        expectThat(cluster.begin(cluster.homeOf("a", key)!!, key)).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.NOT_RUN)
        cluster.advance(200)
        expectThat(cluster.runs(key)).isEqualTo(true)
    }

    @Test
    fun `keys of the test cluster are UUIDs of version 7`() {
        expectThat(UUID.fromString(cluster.newKey()).version()).isEqualTo(7)
    }
}
