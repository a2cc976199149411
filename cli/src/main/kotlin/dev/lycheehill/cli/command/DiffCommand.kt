package dev.lycheehill.cli.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.output.Json
import dev.lycheehill.cli.publish.VersionHistory
import dev.lycheehill.config.diff.ContentDiff
import dev.lycheehill.config.diff.PatchWriter
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.patch.PatchParser
import dev.lycheehill.config.patch.applyTo
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.nio.file.Path

/** Command that shows the difference between two versions, or the changes of a patch. */
@Command(
    name = "diff",
    mixinStandardHelpOptions = true,
    description = ["Shows what changes from version FROM to another version, or by a patch, as the text of a patch."],
    footer = ["", "Example: lycheehill diff 7 slower.toml"],
)
class DiffCommand : VersionHistoryCommand() {
    @Parameters(index = "0", paramLabel = "FROM", description = ["Version."])
    var from: Long = 0

    @Parameters(index = "1", paramLabel = "TO", description = ["Version, or patch file in TOML."])
    lateinit var to: String

    override fun call(): Int = withVersionHistory { history -> contents(history).fold(::refuse) { (old, new) -> report(old, new) } }

    private fun contents(history: VersionHistory): Either<String, Pair<ConfigContent, ConfigContent>> =
        content(history, from).flatMap { old ->
            val version = to.toLongOrNull()
            val new = if (version != null) content(history, version) else patched(old)
            new.map { old to it }
        }

    private fun content(
        history: VersionHistory,
        version: Long,
    ): Either<String, ConfigContent> = history.contentByVersion[version]?.right() ?: "the log does not hold version $version".left()

    private fun patched(base: ConfigContent): Either<String, ConfigContent> =
        PatchParser
            .parse(readPatchText(Path.of(to)), to)
            .flatMap { it.applyTo(base) }
            .mapLeft { errors -> errors.joinToString("\n") }

    private fun report(
        old: ConfigContent,
        new: ConfigContent,
    ): Int {
        val out = spec.commandLine().out
        val diff = ContentDiff.between(old, new)
        when {
            output.json -> out.println(Json.document(diff))
            diff.isEmpty() -> out.println("no difference")
            else -> out.print(PatchWriter.write(old, new))
        }
        out.flush()
        return ExitCode.OK
    }

    private fun refuse(reason: String): Int {
        spec.commandLine().err.println(reason)
        return ExitCode.FAILED
    }
}
