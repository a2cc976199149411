package dev.lycheehill.node.loop

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a node that is short of processor time and takes requests that have waited for it as new ones. */
class ReadDelayTest {
    private var nowMs = 1_000L
    private var endOfRound: Runnable? = null
    private val delay = ReadDelay(atEndOfRound = { endOfRound = it }, clockNanos = { nowMs * 1_000_000 })

    private fun readAfter(workMs: Long): Long {
        nowMs += workMs
        return delay.onRequest() / 1_000_000
    }

    private fun endAfter(workMs: Long) {
        nowMs += workMs
        checkNotNull(endOfRound).run()
    }

    @Test
    fun `the first request of an idle loop has not waited`() {
        expectThat(readAfter(0)).isEqualTo(0)
    }

    @Test
    fun `a request has waited while the others of its round were served`() {
        readAfter(0)
        expectThat(readAfter(30)).isEqualTo(30)
        expectThat(readAfter(20)).isEqualTo(50)
    }

    @Test
    fun `a request of the next round has waited for half of the last one`() {
        readAfter(0)
        endAfter(200)
        expectThat(readAfter(0)).isEqualTo(100)
        expectThat(readAfter(40)).isEqualTo(140)
    }

    @Test
    fun `a request after a pause of the loop has not waited`() {
        readAfter(0)
        endAfter(200)
        expectThat(readAfter(50)).isEqualTo(0)
    }
}
