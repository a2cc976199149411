package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.output.Json
import dev.lycheehill.cli.publish.VersionHistory
import dev.lycheehill.config.patch.Patch
import dev.lycheehill.config.patch.PatchParser
import dev.lycheehill.config.patch.applyTo
import dev.lycheehill.config.toml.TomlError
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Path

/** Command that checks a patch without publishing it. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = [
        "Reads a patch as the nodes will and names each fault with file, line and key. Sends nothing.",
        "Without --base only the text is checked. The exit code is 4 for a faulty patch.",
    ],
    footer = ["", "Example: lycheehill check slower.toml --base 7"],
)
class CheckCommand : VersionHistoryCommand() {
    @Parameters(paramLabel = "PATCH", description = ["Patch file in TOML."])
    lateinit var patch: Path

    @Option(names = ["--base"], paramLabel = "N", description = ["Version that the patch is written against."])
    var base: Long? = null

    override fun call(): Int = PatchParser.parse(readPatchText(patch), patch.toString()).fold(::report, ::checkAgainstBase)

    private fun checkAgainstBase(parsed: Patch): Int {
        val version = base ?: return report(emptyList())
        return withVersionHistory { history -> checkAgainst(history, version, parsed) }
    }

    private fun checkAgainst(
        history: VersionHistory,
        version: Long,
        parsed: Patch,
    ): Int {
        val content = history.contentByVersion[version]
        if (content == null) {
            spec.commandLine().err.println("lycheehill: the log does not hold version $version")
            return ExitCode.FAILED
        }
        return report(parsed.applyTo(content).leftOrNull().orEmpty())
    }

    private fun report(faults: List<TomlError>): Int {
        val report = CheckReport(valid = faults.isEmpty(), faults = faults.map { it.toString() })
        val out = spec.commandLine().out
        when {
            output.json -> out.println(Json.document(report))
            report.valid -> out.println("the patch is valid")
            else -> report.faults.forEach(out::println)
        }
        out.flush()
        return if (report.valid) ExitCode.OK else ExitCode.REFUSED
    }

    private class CheckReport(
        val valid: Boolean,
        val faults: List<String>,
    )
}
