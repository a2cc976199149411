package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import picocli.AutoComplete
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Command that prints a completion script for the shell. */
@Command(
    name = "completion",
    mixinStandardHelpOptions = true,
    description = ["Prints a completion script for bash and zsh."],
    footer = ["", "Example: source <(bin/lycheehill completion)"],
)
class CompletionCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        spec.commandLine().out.print(AutoComplete.bash("lycheehill", spec.root().commandLine()))
        spec.commandLine().out.flush()
        return ExitCode.OK
    }
}
