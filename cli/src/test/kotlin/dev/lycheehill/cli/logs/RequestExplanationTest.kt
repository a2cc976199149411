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

/** Tests explanations of requests from a sample of decision logs, and from single log entries. */
class RequestExplanationTest {
    private fun explain(id: String): Pair<Int, List<String>> {
        val out = StringWriter()
        val commandLine = newCommandLine().setOut(PrintWriter(out)).setErr(PrintWriter(out))
        val exitCode = commandLine.execute("explain-request", "--id", id, "src/test/resources/logs/nodes.log")
        return exitCode to out.toString().trimEnd().lines()
    }

    private fun entry(
        process: String,
        message: String,
        vararg fields: Pair<String, String>,
    ) = DecisionLogEntry(process, message, fields.toMap())

    /** Guards against a refusal without a reason when the log of the instance that refused is not available. */
    @Test
    fun `the explanation of a refused request names the reason and the missing log`() {
        val (exitCode, text) = explain("902e52df569b6f62")
        expectThat(exitCode) isEqualTo 0
        expectThat(text[0]) contains "at sidecar-lakes-c-19: not-run 503 queue-time (the instance could not have answered in time)"
        expectThat(text[0]) contains "elapsed_ms=265"
        expectThat(text[1]) isEqualTo "  at sidecar-lakes-c-6: its log is not given"
    }

    /** Guards against an explanation of a failed request that omits the failed child call which caused the failure. */
    @Test
    fun `child calls are listed below their request`() {
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

    /** Guards against an explanation of a request that does not occur in the logs. */
    @Test
    fun `a request that does not occur in the logs is reported as not found`() {
        val (exitCode, text) = explain("0000")
        expectThat(exitCode) isEqualTo 1
        expectThat(text.single()) contains "no line names request 0000"
    }

    /** Guards against an order by timestamps: the clocks of the instances differ and may jump. */
    @Test
    fun `targets are listed in the order of the attempts`() {
        val entries =
            listOf(
                entry("b", "target-call-ended", "request" to "1", "reason" to "queue-full"),
                entry("a", "target-call-ended", "request" to "1", "reason" to "draining", "suppressed_lines" to "7"),
                entry("c", "call-ended", "request" to "1", "targets" to "a b", "verdict" to "not-run"),
            )
        val explanation = RequestExplanation("1", entries)
        expectThat(explanation.isFound).isTrue()
        expectThat(explanation.text()).containsExactly(
            "request 1 at c: not-run",
            "  at a: draining (the backend server was leaving)",
            "  at b: queue-full (the queue of the instance was full)",
            "a left out 7 lines under load; a missing line may be one of them",
        )
    }

    /** Guards against a request that a stop has cut off and that the command does not find, or takes for one that its caller has given up. */
    @Test
    fun `a request that a stop cuts off is explained with the cause and the stage`() {
        val entries =
            listOf(
                entry(
                    "a",
                    "unanswered-call",
                    "request" to "1",
                    "source" to "callers",
                    "cause" to "node_end",
                    "stage" to "passed_on",
                    "targets" to "b",
                ),
                entry("a", "call-ended", "request" to "1", "targets" to "b", "verdict" to "may-have-run", "reason" to "caller-gone"),
                entry("b", "unanswered-call", "request" to "1", "source" to "nodes", "cause" to "peer_closed", "stage" to "passed_on"),
            )
        val explanation = RequestExplanation("1", entries)
        expectThat(explanation.isFound).isTrue()
        expectThat(explanation.text()).containsExactly(
            "request 1 at a: may-have-run caller-gone (the caller closed its connection)",
            "request 1 at a: not answered node_end (the node ended) stage=passed_on",
            "  at b: not answered peer_closed (the sender of the request closed its connection) stage=passed_on",
        )
        expectThat(RequestExplanation("1", entries.take(1)).isFound).isTrue()
    }

    /** Guards against a failure of the command on lines that other programs wrote to the file. */
    @Test
    fun `lines without a JSON object are skipped`() {
        listOf("", "OpenJDK warning", "{\"message\":", "[1]").forEach { expectThat(DecisionLogEntry.parse(it, "f")).isNull() }
        expectThat(DecisionLogEntry.parse("""{"message":"m","kvpList":[{"request":"1"}]}""", "f")) isEqualTo
            DecisionLogEntry("f", "m", mapOf("request" to "1"))
    }
}
