package dev.lycheehill.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** Command that shows which route and targets a request would use. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = ["Tells which route and which targets a request would use, and why. Nothing is sent."],
    footer = ["", "Example: lycheehill explain GET /catalogue/spools --host bobbins.example"],
)
class ExplainCommand : NodeRequestCommand() {
    @Parameters(index = "0", paramLabel = "METHOD", description = ["HTTP method of the request."])
    lateinit var method: String

    @Parameters(index = "1", paramLabel = "PATH", description = ["Path of the request."])
    lateinit var path: String

    @Option(names = ["--host"], paramLabel = "NAME", defaultValue = "", description = ["Host of the request (default: none)."])
    lateinit var host: String

    override fun call(): Int = show(node.client().get("/v1/explain", mapOf("method" to method, "path" to path, "host" to host)))
}
