package dev.lycheehill.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec

/** Command group that lists and lifts the quarantine of requests. */
@Command(
    name = "quarantine",
    mixinStandardHelpOptions = true,
    subcommands = [QuarantineListCommand::class, QuarantineLiftCommand::class],
    description = ["Lists and lifts the quarantine of requests that crashed backend servers."],
    footer = ["", "Example: lycheehill quarantine list"],
)
class QuarantineCommand : Runnable {
    @Spec
    lateinit var spec: CommandSpec

    override fun run(): Unit = throw ParameterException(spec.commandLine(), "Missing required subcommand: list or lift")
}
