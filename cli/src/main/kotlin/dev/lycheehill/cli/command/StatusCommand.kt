package dev.lycheehill.cli.command

import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.ExitCode
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Command that shows the outcome of a patch, or the version in force. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = [
        "Without PATCH-ID: the version in force and the nodes that have it.",
        "With PATCH-ID: what became of the patch. The exit code is that of 'publish'.",
    ],
    footer = ["", "Example: lycheehill status 7-3b0c9f2e5d1a4c6b8e7f0a12"],
)
class StatusCommand : NodeRequestCommand() {
    @Parameters(arity = "0..1", paramLabel = "PATCH-ID", description = ["Id that 'publish' printed."])
    var patchId: String? = null

    override fun call(): Int {
        val id = patchId ?: return show(node.client().get("/v1/version"))
        val response = node.client().get("/v1/status/$id")
        val shownExitCode = show(response)
        return response.fold({ shownExitCode }, ::exitCode)
    }

    private fun exitCode(status: JsonNode): Int =
        when (status.path("outcome").asText()) {
            "accepted" -> if (isInForceOnAll(status.path("in_force"))) ExitCode.OK else ExitCode.IN_FORCE_ON_SOME
            "refused" -> ExitCode.REFUSED
            else -> ExitCode.NOT_KNOWN
        }

    private fun isInForceOnAll(report: JsonNode): Boolean =
        report.path("nodes").asInt(-1) == report.path("nodes_in_force").asInt(0) && report.path("lagging_zones").isEmpty
}
