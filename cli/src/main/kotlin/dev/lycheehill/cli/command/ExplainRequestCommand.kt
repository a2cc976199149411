package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.logs.DecisionLogEntry
import dev.lycheehill.cli.logs.RequestExplanation
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Command that explains the path of one request from the decision logs of several processes. */
@Command(
    name = "explain-request",
    mixinStandardHelpOptions = true,
    description = [
        "Prints the path of one request from the logs of several processes, in order of cause, with what is missing.",
        "A file holds the log of one process, whose name is that of the file, or of several, each line behind the name of its process.",
    ],
    footer = ["", "Example: lycheehill explain-request --id 1750102bc69c8fa3 sidecar-a-1.log sidecar-b-2.log"],
)
class ExplainRequestCommand : Callable<Int> {
    @Option(names = ["--id"], paramLabel = "ID", required = true, description = ["Id of the request."])
    lateinit var id: String

    @Parameters(arity = "1..*", paramLabel = "FILE", description = ["Structured logs."])
    lateinit var files: List<Path>

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val explanation = RequestExplanation(id, files.flatMap(::readEntries))
        val out = spec.commandLine().out
        val text = if (explanation.isFound) explanation.text() else listOf("no line names request $id: $NOT_FOUND_REASON")
        text.forEach(out::println)
        out.flush()
        return if (explanation.isFound) ExitCode.OK else ExitCode.FAILED
    }

    private fun readEntries(file: Path): List<DecisionLogEntry> {
        if (!Files.isReadable(file)) throw ParameterException(spec.commandLine(), "cannot read $file")
        val process = file.fileName.toString().substringBeforeLast('.')
        return Files.newBufferedReader(file).useLines { lines -> lines.mapNotNull { DecisionLogEntry.parse(it, process) }.toList() }
    }

    private companion object {
        const val NOT_FOUND_REASON = "it ended with a success on the first target, or its log is not given"
    }
}
