package dev.lycheehill.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Command that lifts the quarantine of one request fingerprint. */
@Command(
    name = "lift",
    mixinStandardHelpOptions = true,
    description = ["Lets requests with this fingerprint run again, on all nodes."],
    footer = ["", "Example: lycheehill quarantine lift 5f2b1c0d9e8a"],
)
class QuarantineLiftCommand : NodeRequestCommand() {
    @Parameters(paramLabel = "FINGERPRINT", description = ["Fingerprint as shown by 'quarantine list'."])
    lateinit var fingerprint: String

    override fun call(): Int = show(node.client().delete("/v1/quarantine", mapOf("fingerprint" to fingerprint)))
}
