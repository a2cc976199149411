package dev.lycheehill.standins.log

import dev.lycheehill.core.Verdict
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.memory.LogFaults
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.contentEquals
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import kotlin.random.Random

/** Guards against log implementations that differ in offsets, waits or verdicts. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PlatformLogContractTest {
    // One thread per task: a waiting read must not depend on a free worker of the common pool.
    private val threadPerTask = Executor { Thread(it).apply { isDaemon = true }.start() }

    private val opened = mutableListOf<LogUnderTest>()

    @AfterEach
    fun closeLogs() = opened.forEach { it.close() }

    @ParameterizedTest
    @MethodSource("logs")
    fun `a read returns the unchanged records of its stream in order`(open: () -> LogUnderTest) {
        val log = opened(open).log
        val payloads = List(5) { Random(it).nextBytes(it * 20_000) }
        expectThat(payloads.map { log.append("a", it).getOrNull() }).containsExactly(0, 1, 2, 3, 4)
        expectThat(log.append("b", ByteArray(1)).getOrNull()).isEqualTo(0)
        val page = log.read("a", fromOffset = 1, maxRecords = 3).getOrNull()!!
        expectThat(page.entries.map { it.offset }).containsExactly(1, 2, 3)
        page.entries.forEach { expectThat(it.payload).contentEquals(payloads[it.offset.toInt()]) }
        expectThat(page.nextOffset).isEqualTo(5)
        expectThat(log.read("a", fromOffset = 9).getOrNull()!!) {
            get { entries }.isEmpty()
            get { nextOffset }.isEqualTo(5)
        }
    }

    @ParameterizedTest
    @MethodSource("logs")
    fun `a read waits for the next record, at most for the requested time`(open: () -> LogUnderTest) {
        val log = opened(open).log
        expectThat(log.read("a", fromOffset = 0, waitMs = 50).getOrNull()!!.entries).isEmpty()
        val waiting = CompletableFuture.supplyAsync({ log.read("a", fromOffset = 0, waitMs = 10_000) }, threadPerTask)
        log.append("other", ByteArray(1))
        log.append("a", ByteArray(1))
        expectThat(
            waiting
                .get()
                .getOrNull()!!
                .entries
                .map { it.offset },
        ).containsExactly(0)
    }

    @ParameterizedTest
    @MethodSource("logs")
    fun `a waiting read fails when an outage begins`(open: () -> LogUnderTest) {
        val target = opened(open)
        val waiting = CompletableFuture.supplyAsync({ target.log.read("a", fromOffset = 0, waitMs = 10_000) }, threadPerTask)
        Thread.sleep(100)
        target.setFaults(LogFaults(outage = true))
        expectThat(waiting.get().leftOrNull()?.kind).isEqualTo(LogError.Kind.UNAVAILABLE)
    }

    @ParameterizedTest
    @MethodSource("logs")
    fun `a failed append states whether it may have taken effect`(open: () -> LogUnderTest) {
        val target = opened(open)
        FAULTS.forEach { (faults, kind, verdict) ->
            target.setFaults(faults)
            val error = target.log.append("a", ByteArray(1)).leftOrNull()
            expectThat(error?.kind to error?.verdict).isEqualTo(kind to verdict)
            target.setFaults(LogFaults())
        }
        // The append with the lost response and the delayed append take effect; the two refused appends do not.
        val deadline = System.nanoTime() + 5_000_000_000
        while (target.log
                .read("a", 0)
                .getOrNull()!!
                .nextOffset < 2 &&
            System.nanoTime() < deadline
        ) {
            Thread.sleep(20)
        }
        Thread.sleep(100)
        expectThat(
            target.log
                .read("a", 0)
                .getOrNull()!!
                .nextOffset,
        ).isEqualTo(2)
    }

    @ParameterizedTest
    @MethodSource("logs")
    fun `a failed read has the verdict not run`(open: () -> LogUnderTest) {
        val target = opened(open)
        listOf(LogFaults(outage = true), LogFaults(delayMs = 600)).forEach {
            target.setFaults(it)
            expectThat(
                target.log
                    .read("a", 0)
                    .leftOrNull()
                    ?.verdict,
            ).isEqualTo(Verdict.NOT_RUN)
        }
    }

    @ParameterizedTest
    @MethodSource("logs")
    fun `appends above the rate limit are refused and accepted again later`(open: () -> LogUnderTest) {
        val target = opened(open)
        target.setFaults(LogFaults(maxAppendsPerS = 20))
        val kinds =
            List(60) {
                target.log
                    .append("a", ByteArray(1))
                    .leftOrNull()
                    ?.kind
            }
        expectThat(kinds.count { it == LogError.Kind.RATE_LIMITED }).isGreaterThan(0)
        Thread.sleep(200)
        expectThat(target.log.append("a", ByteArray(1)).isRight()).isEqualTo(true)
    }

    @ParameterizedTest
    @MethodSource("logs")
    fun `records that are no longer retained are not returned and the first retained offset shows the gap`(open: () -> LogUnderTest) {
        val target = opened(open)
        target.setFaults(LogFaults(retainRecords = 2))
        repeat(5) { target.log.append("a", ByteArray(it)) }
        expectThat(target.log.read("a", fromOffset = 1, waitMs = 10_000).getOrNull()!!) {
            get { entries }.isEmpty()
            get { firstRetainedOffset }.isEqualTo(3)
        }
        expectThat(
            target.log
                .read("a", fromOffset = 3)
                .getOrNull()!!
                .entries
                .map { it.payload.size },
        ).containsExactly(3, 4)
    }

    private fun opened(open: () -> LogUnderTest): LogUnderTest = open().also { opened += it }

    companion object {
        private val FAULTS =
            listOf(
                Triple(LogFaults(outage = true), LogError.Kind.UNAVAILABLE, Verdict.NOT_RUN),
                Triple(LogFaults(maxAppendsPerS = 0), LogError.Kind.RATE_LIMITED, Verdict.NOT_RUN),
                Triple(LogFaults(loseResponses = true), LogError.Kind.UNAVAILABLE, Verdict.MAY_HAVE_RUN),
                Triple(LogFaults(delayMs = 600), LogError.Kind.TIMEOUT, Verdict.MAY_HAVE_RUN),
            )

        @JvmStatic
        fun logs(): List<() -> LogUnderTest> = listOf(LogUnderTest::inMemory, LogUnderTest::http)
    }
}
