package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.publish.OperatorPublisher
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Path

/** Command that publishes a patch. */
@Command(
    name = "publish",
    mixinStandardHelpOptions = true,
    description = [
        "Publishes a patch against version N and prints one answer:",
        "accepted and in force on all nodes (0) or on some (3), refused and not run (4), not known yet (5).",
        "To publish the same file against the same version again is safe: it is accepted at most once.",
    ],
    footer = ["", "Example: lycheehill publish slower.toml --base 7"],
)
class PublishCommand : VersionHistoryCommand() {
    @Mixin
    lateinit var node: NodeOption

    @Parameters(paramLabel = "PATCH", description = ["Patch file in TOML."])
    lateinit var patch: Path

    @Option(names = ["--base"], paramLabel = "N", required = true, description = ["Version that the patch is written against."])
    var base: Long = 0

    // While the log does not respond, it is not known whether an earlier run of the same command has sent the patch.
    override fun call(): Int {
        val text = readPatchText(patch)
        return withVersionHistory(unreachableExitCode = ExitCode.NOT_KNOWN) { history ->
            show(OperatorPublisher(log.client(), node.client()).publish(history, text, patch.toString(), base))
        }
    }
}
