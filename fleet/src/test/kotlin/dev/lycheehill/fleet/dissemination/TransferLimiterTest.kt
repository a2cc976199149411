package dev.lycheehill.fleet.dissemination

import dev.lycheehill.fleet.link.PeerAddress
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isTrue
import kotlin.random.Random

class TransferLimiterTest {
    /** Guards against transfers that exceed the limit, and against failed peers that occupy transfers permanently. */
    @Test
    fun `a fifth transfer is refused until one of four ends or exceeds its hold time`() {
        val limiter = TransferLimiter(maxTransfers = 4)
        val peers = (1..6).map { PeerAddress("p$it:1") }
        peers.take(4).forEach { expectThat(limiter.admit(it, nowMs = 0, holdMs = 100)).isTrue() }
        expectThat(limiter.admit(peers[4], nowMs = 99, holdMs = 100)).isFalse()
        expectThat(limiter.admit(peers[0], nowMs = 99, holdMs = 100)).isTrue()
        expectThat(limiter.admit(peers[4], nowMs = 100, holdMs = 100)).isTrue()
        limiter.release(peers[0])
        limiter.release(peers[4])
        expectThat(peers.count { limiter.admit(it, nowMs = 150, holdMs = 100) }).isEqualTo(4)
    }

    @Test
    fun `a backoff delay lies between zero and a bound that doubles up to the cap`() {
        val seed = 61
        println("seed=$seed")
        val backoff = Backoff(Random(seed), baseMs = 100, capMs = 5_000)
        listOf(100L, 200L, 400L, 800L, 1_600L, 3_200L, 5_000L, 5_000L).forEach { ceiling ->
            expectThat(backoff.nextDelayMs()).isIn(0L..ceiling)
        }
        backoff.reset()
        expectThat(backoff.nextDelayMs()).isIn(0L..100L)
    }
}
