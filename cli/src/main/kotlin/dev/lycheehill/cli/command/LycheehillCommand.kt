package dev.lycheehill.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec

/** Root command; each function is a subcommand. */
@Command(
    name = "lycheehill",
    mixinStandardHelpOptions = true,
    version = ["lycheehill 0.1.0"],
    description = ["Distributes configuration in a service mesh and carries the calls that it routes."],
    subcommands = [
        DemoCommand::class,
        LogCommand::class,
        NodeCommand::class,
        BackendCommand::class,
        PublishCommand::class,
        CheckCommand::class,
        DiffCommand::class,
        RevertCommand::class,
        StatusCommand::class,
        ShowCommand::class,
        HistoryCommand::class,
        ExplainCommand::class,
        ExplainRequestCommand::class,
        DrainCommand::class,
        QuarantineCommand::class,
        TraceCommand::class,
        EmulateCommand::class,
        EmulateRestoreCommand::class,
        MeasureCommand::class,
        CompletionCommand::class,
    ],
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = [
        "0:done; a patch is accepted and in force on all nodes",
        "1:the command failed",
        "2:wrong usage",
        "3:the patch is accepted and in force on some nodes",
        "4:the patch was refused and not run",
        "5:it is not known whether the patch was run",
    ],
    footer = ["", "Example: lycheehill demo"],
)
class LycheehillCommand : Runnable {
    @Spec
    lateinit var spec: CommandSpec

    override fun run(): Unit = throw ParameterException(spec.commandLine(), "Missing required subcommand")
}
