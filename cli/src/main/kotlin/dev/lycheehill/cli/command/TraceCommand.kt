package dev.lycheehill.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Command that shows the spans of one trace. */
@Command(
    name = "trace",
    mixinStandardHelpOptions = true,
    description = [
        "Shows the spans of one trace that the node holds: one line per hop with route, version, target, attempt, verdict and queue time.",
    ],
    footer = ["", "Example: lycheehill trace 0af7651916cd43dd8448eb211c80319c"],
)
class TraceCommand : NodeRequestCommand() {
    @Parameters(paramLabel = "TRACE-ID", description = ["32 hex digits, the second part of the traceparent header."])
    lateinit var traceId: String

    override fun call(): Int = show(node.client().get("/v1/trace/$traceId"))
}
