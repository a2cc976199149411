package dev.lycheehill.cli.command

import picocli.CommandLine.Command

/** Command that lists the latest versions and their patches. */
@Command(
    name = "history",
    mixinStandardHelpOptions = true,
    description = ["Lists the latest versions and the patches that made them."],
    footer = ["", "Example: lycheehill history --json"],
)
class HistoryCommand : NodeRequestCommand() {
    override fun call(): Int = show(node.client().get("/v1/show/versions"))
}
