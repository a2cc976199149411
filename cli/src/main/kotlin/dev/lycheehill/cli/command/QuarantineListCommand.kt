package dev.lycheehill.cli.command

import picocli.CommandLine.Command

/** Command that lists the quarantined request fingerprints. */
@Command(
    name = "list",
    mixinStandardHelpOptions = true,
    description = ["Lists the request fingerprints that are refused, with the time left."],
    footer = ["", "Example: lycheehill quarantine list --json"],
)
class QuarantineListCommand : NodeRequestCommand() {
    override fun call(): Int = show(node.client().get("/v1/quarantine"))
}
