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

/** Nodes on a fake clock and a network in memory, with the log in memory. */
class KeyHomeManagerTest {
    private val mesh = KeyHomeTestCluster(seed = 71)

    @Test
    fun `the first request of a domain brings its homes about, and a key runs once at one of them`() {
        mesh.startAll("a", "b", "c")
        expectThat(mesh.homeOf("a", "k1")).isNull()
        mesh.advance(3_000)
        val home = expectThat(mesh.homeOf("a", "k1")).isNotNull().subject
        mesh.advance(3_000)
        expectThat(
            mesh.nodes.keys
                .map { mesh.homeOf(it, "k1") }
                .distinct(),
        ).isEqualTo(listOf(home))
        mesh.nodes.keys.filter { it != home }.forEach { other ->
            expectThat(mesh.begin(other, "k1")).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.NOT_RUN)
        }
        expectThat(mesh.run(home, "k1")).isA<KeyDecision.Execute>()
        expectThat(mesh.begin(home, "k1")).isA<KeyDecision.Replay>().get { StoredResponse.decode(response).status }.isEqualTo(201)
    }

    /** Guards against a second run at the new home, and against a domain that stays unavailable after a crash. */
    @Test
    fun `after the crash of a home its keys move, old ones may have run and new ones run`() {
        mesh.startAll("a", "b", "c")
        val (home, old) = mesh.establishedKey()
        expectThat(mesh.run(home, old)).isA<KeyDecision.Execute>()
        mesh.crash(home)
        mesh.advance(30_000)
        val next = mesh.homeOf(mesh.nodes.keys.first(), old)!!
        expectThat(next).isNotEqualTo(home)
        expectThat(mesh.begin(next, old)).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.MAY_HAVE_RUN)
        expectThat(mesh.runs(mesh.newKey())).isEqualTo(true)
    }

    /** Guards against a drain after which repetitions are answered without knowledge of the first run. */
    @Test
    fun `a draining home hands its keys over, so that the new home knows them`() {
        mesh.startAll("a", "b", "c")
        val (home, key) = mesh.establishedKey()
        expectThat(mesh.run(home, key)).isA<KeyDecision.Execute>()
        mesh.drain(home)
        mesh.advance(8_000)
        expectThat(
            mesh.nodes
                .getValue(home)
                .homes.isReleased,
        ).isEqualTo(true)
        val next = mesh.homeOf(home, key)!!
        expectThat(next).isNotEqualTo(home)
        expectThat(mesh.begin(next, key)).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.RAN)
        val opaque = "an opaque key that no home has seen"
        expectThat(mesh.runs(opaque)).isEqualTo(true)
    }

    @Test
    fun `a home that is cut off from the others stops to execute, and the majority goes on`() {
        mesh.startAll("a", "b", "c")
        val (home, _) = mesh.establishedKey()
        mesh.isolate(home)
        mesh.advance(3_100)
        expectThat(mesh.begin(home, mesh.keyOf(home))).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.NOT_RUN)
        mesh.advance(30_000)
        val others = mesh.nodes.keys - home
        expectThat(mesh.runs(mesh.newKey(), viewedBy = others.first())).isEqualTo(true)
    }

    /** Guards against homes that stop because the log is down, although no new epoch can be made. */
    @Test
    fun `homes go on while the log is down`() {
        mesh.startAll("a", "b", "c")
        mesh.establishedKey()
        mesh.log.faults = LogFaults(outage = true)
        repeat(20) {
            mesh.advance(60_000)
            mesh.nodes.keys.forEach { home -> expectThat(mesh.run(home, mesh.keyOf(home))).isA<KeyDecision.Execute>() }
        }
    }

    /** Guards against vouchers that are renewed for ever for a domain that nobody uses, and against a domain that stays off. */
    @Test
    fun `an idle domain is refused once and runs after the next round of vouchers`() {
        mesh.startAll("a", "b", "c")
        mesh.establishedKey()
        mesh.advance(700_000)
        val key = mesh.newKey()
        expectThat(mesh.begin(mesh.homeOf("a", key)!!, key)).isA<KeyDecision.Refuse>().get { verdict }.isEqualTo(Verdict.NOT_RUN)
        mesh.advance(200)
        expectThat(mesh.runs(key)).isEqualTo(true)
    }

    @Test
    fun `version 7 keys of the test carry the time of the fake clock`() {
        expectThat(UUID.fromString(mesh.newKey()).version()).isEqualTo(7)
    }
}
