package dev.lycheehill.cli.command

import picocli.CommandLine.Command

/** Command that takes the target of a node out of service. */
@Command(
    name = "drain",
    mixinStandardHelpOptions = true,
    description = ["Takes the target beside the node out of service. Calls in flight end; new calls go elsewhere."],
    footer = ["", "Example: lycheehill drain --node 127.0.0.1:7203"],
)
class DrainCommand : NodeRequestCommand() {
    override fun call(): Int = show(node.client().post("/v1/drain"))
}
