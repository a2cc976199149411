package dev.lycheehill.cli.logs

import dev.lycheehill.cli.newCommandLine
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.io.PrintWriter
import java.io.StringWriter

/** Explanations from lines of a played day (fbmc-mesh-grown quiet-1), and from lines written for single cases. */
class RequestExplanationTest {
    private fun explain(id: String): Pair<Int, List<String>> {
        val out = StringWriter()
        val commandLine = newCommandLine().setOut(PrintWriter(out)).setErr(PrintWriter(out))
        val exitCode = commandLine.execute("explain-request", "--id", id, "src/test/resources/logs/nodes.log")
        return exitCode to out.toString().trimEnd().lines()
    }

    private fun line(
        process: String,
        message: String,
        vararg fields: Pair<String, String>,
    ) = DecisionLogEntry(process, message, fields.toMap())

    /** Guards against a refusal whose reason stays hidden because the log of the instance that refused is not at hand. */
    @Test
    fun `a refused request names the reason and the log that is missing`() {
        val (exitCode, text) = explain("902e52df569b6f62")
        expectThat(exitCode) isEqualTo 0
        expectThat(text[0]) contains "at sidecar-lakes-c-19: not-run 503 queue-time (the instance could not have answered in time)"
        expectThat(text[0]) contains "elapsed_ms=265"
        expectThat(text[1]) isEqualTo "  at sidecar-lakes-c-6: its log is not given"
    }

    /** Guards against a failed request whose cause, a call that it made itself, is not shown with it. */
    @Test
    fun `the calls of a running request stand below it`() {
        val (exitCode, text) = explain("39b59483e9985068")
        expectThat(exitCode) isEqualTo 0
        expectThat(text.map { it.substringBefore(':') }).containsExactly(
            "request 39b59483e9985068",
            "  at sidecar-lakes-b-4",
            "    request 39b59483e9985068.e70daf16137235d3 at sidecar-lakes-b-4",
            "      at sidecar-lakes-b-22",
            "    request 39b59483e9985068.d7a95cef804a21d7 at sidecar-lakes-b-4",
            "      at sidecar-lakes-b-22",
        )
        expectThat(text[1]) contains "ran 500"
        expectThat(text[2]) contains "caller-gone"
    }

    /** Guards against an answer for a request that no line names. */
    @Test
    fun `a request that no line names is reported as such`() {
        val (exitCode, text) = explain("0000")
        expectThat(exitCode) isEqualTo 1
        expectThat(text.single()) contains "no line names request 0000"
    }

    /** Guards against an order by clocks, which differ between instances and step. */
    @Test
    fun `targets stand in the order in which they were tried`() {
        val lines =
            listOf(
                line("b", "target-call-ended", "request" to "1", "reason" to "queue-full"),
                line("a", "target-call-ended", "request" to "1", "reason" to "draining", "suppressed_lines" to "7"),
                line("c", "call-ended", "request" to "1", "targets" to "a b", "verdict" to "not-run"),
            )
        val explanation = RequestExplanation("1", lines)
        expectThat(explanation.isFound).isTrue()
        expectThat(explanation.text()).containsExactly(
            "request 1 at c: not-run",
            "  at a: draining (the backend server was leaving)",
            "  at b: queue-full (the queue of the instance was full)",
            "a left out 7 lines under load; a missing line may be one of them",
        )
    }

    /** Guards against a file with foreign lines that ends the command. */
    @Test
    fun `lines that hold no JSON object are passed over`() {
        listOf("", "OpenJDK warning", "{\"message\":", "[1]").forEach { expectThat(DecisionLogEntry.parse(it, "f")).isNull() }
        expectThat(DecisionLogEntry.parse("""{"message":"m","kvpList":[{"request":"1"}]}""", "f")) isEqualTo
            DecisionLogEntry("f", "m", mapOf("request" to "1"))
    }
}
