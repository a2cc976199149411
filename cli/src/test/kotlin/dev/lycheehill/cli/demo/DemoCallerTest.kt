package dev.lycheehill.cli.demo

import com.sun.net.httpserver.HttpServer
import dev.lycheehill.http.BlockingHttpClient
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against a caller that loses a request, or reports a success without proof.
 *
 * Responses are written as `status/verdict/body`; the verdict `-` stands for a missing header.
 */
class DemoCallerTest {
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    private val keys = CopyOnWriteArrayList<String>()
    private val keyCount = AtomicInteger(1)
    private val address get() = "127.0.0.1:${server.address.port}"

    @AfterEach
    fun stop() {
        server.stop(0)
    }

    @ParameterizedTest
    @CsvSource(
        "read,  200/ran/r1 0,                                SUCCEEDED,      1",
        "read,  200/ran/r2 0,                                WRONG_RESPONSE, 1",
        "read,  503/not-run/x 200/ran/r1 0,                  SUCCEEDED,      2",
        "read,  504/may-have-run/x 200/ran/r1 0,             SUCCEEDED,      2",
        "read,  500/ran/x,                                   FAILED,         1",
        "read,  200/-/r1 0 200/ran/r1 0,                    SUCCEEDED,      2",
        "order, 503/not-run/x 200/ran/r1 0,                  SUCCEEDED,      2",
        "order, 504/may-have-run/x 409/ran/x,                SUCCEEDED,      2",
        "order, 504/may-have-run/x 503/not-run/x,            MAY_HAVE_RUN,   0",
        "order, 503/not-run/x,                               NOT_RUN,        0",
    )
    fun `the outcome follows from the responses`(
        kind: String,
        answers: String,
        expected: RequestOutcome,
        attempts: Int,
    ) {
        val served = answers.split(Regex(" (?=\\d{3}/)"))
        serve(served)
        val key = "k1".takeIf { kind == "order" }

        val outcome = caller { listOf(address) }.send(DemoRequest("r1", "/x", key))

        expectThat(outcome).isEqualTo(expected)
        if (attempts > 0) expectThat(keys.size).isEqualTo(attempts)
        expectThat(keys.toList()).isEqualTo(expectedKeys(key, served))
    }

    /**
     * Returns the keys of the attempts. A retry gets a new key only while all responses were `not run`; after any other response,
     * a new key could make the order run twice.
     */
    private fun expectedKeys(
        key: String?,
        served: List<String>,
    ): List<String> {
        val firstOther = served.indexOfFirst { "/not-run/" !in it }.takeIf { it >= 0 } ?: Int.MAX_VALUE
        return keys.indices.map { attempt -> if (key == null) "-" else "k${minOf(attempt, firstOther) + 1}" }
    }

    @Test
    fun `a caller whose own node accepts no connection uses another node`() {
        serve(listOf("200/ran/r1 0"))

        val outcome = caller { listOf("127.0.0.1:1", address) }.send(DemoRequest("r1", "/x", "k1"))

        expectThat(outcome).isEqualTo(RequestOutcome.SUCCEEDED)
    }

    private fun caller(addresses: () -> List<String>) =
        DemoCaller(
            "bobbins.example",
            addresses,
            BlockingHttpClient(
                connectTimeoutMs = 1_000,
            ),
            timeout = Duration.ofMillis(1_500),
            newKey = {
                "k${keyCount.incrementAndGet()}"
            },
        )

    // Repeats the last response.
    private fun serve(answers: List<String>) {
        server.createContext("/") { exchange ->
            val (status, verdict, body) = answers[minOf(keys.size, answers.size - 1)].split('/')
            keys += exchange.requestHeaders.getFirst("idempotency-key") ?: "-"
            if (verdict != "-") exchange.responseHeaders["lycheehill-verdict"] = verdict
            exchange.responseHeaders["lycheehill-retry-after-ms"] = "5"
            exchange.sendResponseHeaders(status.toInt(), body.length.toLong())
            exchange.responseBody.use { it.write(body.toByteArray()) }
        }
        server.start()
    }
}
