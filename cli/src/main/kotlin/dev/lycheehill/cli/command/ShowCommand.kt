package dev.lycheehill.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Command that shows the services, routes, targets or configuration versions of a node. */
@Command(
    name = "show",
    mixinStandardHelpOptions = true,
    description = ["Shows the services, routes, targets or versions that a node holds."],
    footer = ["", "Example: lycheehill show targets --node 127.0.0.1:7103"],
)
class ShowCommand : NodeRequestCommand() {
    /** Kinds of information that the command can show. */
    enum class Subject { SERVICES, ROUTES, TARGETS, VERSIONS }

    @Parameters(paramLabel = "SUBJECT", description = ["One of: services, routes, targets, versions."])
    lateinit var subject: Subject

    override fun call(): Int = show(node.client().get("/v1/show/${subject.name.lowercase()}"))
}
