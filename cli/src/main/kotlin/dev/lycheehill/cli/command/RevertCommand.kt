package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.publish.OperatorPublisher
import dev.lycheehill.cli.publish.VersionHistory
import dev.lycheehill.config.diff.PatchWriter
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Command that publishes the content of an older version as a new version. */
@Command(
    name = "revert",
    mixinStandardHelpOptions = true,
    description = ["Publishes a new version with the content of version N. Versions only go up. Answers as 'publish' does."],
    footer = ["", "Example: lycheehill revert --to 6"],
)
class RevertCommand : VersionHistoryCommand() {
    @Mixin
    lateinit var node: NodeOption

    @Option(names = ["--to"], paramLabel = "N", required = true, description = ["Version whose content is restored."])
    var version: Long = 0

    override fun call(): Int = withVersionHistory(unreachableExitCode = ExitCode.NOT_KNOWN, ::revert)

    private fun revert(history: VersionHistory): Int {
        val content = history.contentByVersion[version]
        val text = content?.let { PatchWriter.write(history.state.content, it) }
        return when {
            text == null -> refuse("the log does not hold version $version")
            text.isEmpty() -> refuse("version ${history.state.version} has the content of version $version already")
            else -> show(OperatorPublisher(log.client(), node.client()).publish(history, text, "revert", history.state.version))
        }
    }

    private fun refuse(reason: String): Int {
        spec.commandLine().err.println("lycheehill: nothing was published: $reason")
        return ExitCode.FAILED
    }
}
