package dev.lycheehill.node.tracing

import com.sun.net.httpserver.HttpServer
import dev.lycheehill.core.Verdict
import dev.lycheehill.node.settings.Secret
import dev.lycheehill.node.settings.TracingSettings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Guards against lost spans of failed hops, a broken trace context, and a ring buffer that exceeds its capacity. */
class OtelSpanRecorderTest {
    private val closeables = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() {
        closeables.forEach { it.close() }
    }

    @ParameterizedTest
    @CsvSource(
        "ran, 200, 0",
        "ran, 404, 0",
        "ran, 500, 1",
        "not-run, 503, 1",
        "may-have-run, 504, 1",
        "ran, , 1",
    )
    fun `only failed spans are kept when no trace is sampled`(
        verdict: String,
        status: Int?,
        kept: Int,
    ) {
        val recorder = recorder(samplePercent = 0)
        val span = recorder.start(Hop.EGRESS, null)

        span.end(result(verdict, status))

        expectThat(recorder.trace(span.traceId)).hasSize(kept)
        expectThat(recorder.recentFailures(limit = 10)).hasSize(kept)
    }

    @Test
    fun `the spans of a call form one trace and carry their attributes`() {
        val recorder = recorder(samplePercent = 100)
        val egress = recorder.start(Hop.EGRESS, null)
        val attemptSpan = recorder.start(Hop.ATTEMPT, egress.traceparent)
        val ingress = recorder.start(Hop.INGRESS, attemptSpan.traceparent)
        listOf(ingress, attemptSpan, egress).forEach { it.end(result("ran", 200)) }

        val spans = recorder.trace(egress.traceId).associateBy { it.hop }

        expectThat(spans.getValue(Hop.EGRESS).parentSpanId).isNull()
        expectThat(spans.getValue(Hop.ATTEMPT).parentSpanId).isEqualTo(spans.getValue(Hop.EGRESS).spanId)
        expectThat(spans.getValue(Hop.INGRESS)) {
            get { parentSpanId }.isEqualTo(spans.getValue(Hop.ATTEMPT).spanId)
            get { listOf(route, target, verdict, nodeId, zone) }.containsExactly("orders-write", "orders-1", "ran", "n1", "lakes-a")
            get { listOf(version, queueMicros, attempt.toLong()) }.containsExactly(7L, 1_500L, 2L)
        }
    }

    @Test
    fun `a received trace with the sampled flag is kept, and an invalid header starts a new trace`() {
        val recorder = recorder(samplePercent = 0)
        val sampled = recorder.start(Hop.INGRESS, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
        val invalid = recorder.start(Hop.INGRESS, "00-xyz-1-01")

        sampled.end(result("ran", 200))
        invalid.end(result("not-run", 503))

        expectThat(recorder.trace("0af7651916cd43dd8448eb211c80319c").single().parentSpanId).isEqualTo("b7ad6b7169203331")
        expectThat(recorder.trace(invalid.traceId).single().parentSpanId).isNull()
    }

    @Test
    fun `the ring buffer holds only the newest spans`() {
        val recorder = recorder(samplePercent = 100, ringSpans = 16)

        val ids = List(40) { recorder.start(Hop.EGRESS, null).also { span -> span.end(result("not-run", 503)) }.traceId }

        expectThat(recorder.recentFailures(limit = 100).map { it.traceId }).isEqualTo(ids.takeLast(16).reversed())
    }

    @Test
    fun `kept spans are exported over OTLP with the authorization header`() {
        val requests = LinkedBlockingQueue<String>()
        val collector = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        collector.createContext("/v1/traces") { exchange ->
            exchange.requestBody.readAllBytes()
            requests += exchange.requestHeaders.getFirst("Authorization").orEmpty()
            exchange.sendResponseHeaders(200, -1)
            exchange.close()
        }
        collector.start()
        closeables += AutoCloseable { collector.stop(0) }
        val url = "http://127.0.0.1:${collector.address.port}/v1/traces"
        val settings = TracingSettings(samplePercent = 0, otlpEndpoint = url, otlpAuthorization = Secret("Bearer t"))
        val recorder = OtelSpanRecorder("n1", "lakes-a", settings)

        recorder.start(Hop.EGRESS, null).end(result("may-have-run", 504))
        recorder.close()

        expectThat(requests.poll(5, TimeUnit.SECONDS) == "Bearer t").isTrue()
    }

    private fun recorder(
        samplePercent: Int,
        ringSpans: Int = 64,
    ): SpanRecorder =
        OtelSpanRecorder("n1", "lakes-a", TracingSettings(samplePercent = samplePercent, ringSpans = ringSpans)).also { closeables += it }

    private fun result(
        verdict: String,
        status: Int?,
    ) = HopResult(
        route = "orders-write",
        version = 7,
        target = "orders-1",
        attempt = 2,
        verdict = Verdict.fromHeader(verdict),
        queueNanos = 1_500_000,
        status = status,
    )
}
