package dev.lycheehill.cli.command

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.demo.Demo
import dev.lycheehill.cli.demo.Deployment
import dev.lycheehill.cli.output.Json
import org.slf4j.LoggerFactory
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Command that runs the demo. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = [
        "Runs a whole mesh in this process, sends calls through it, changes it and breaks it.",
        "Prints one line for each step and a JSON document as its last line.",
        "The exit code is 0 only when every check held.",
    ],
    footer = ["", "Example: lycheehill demo --deployment chaiyaphruek --seed 7"],
)
class DemoCommand : Callable<Int> {
    @Option(names = ["--seed"], paramLabel = "N", defaultValue = "1", description = ["Seed of all random choices (default: 1)."])
    var seed: Long = 1

    @Option(
        names = ["--deployment"],
        paramLabel = "NAME",
        defaultValue = "cooperative",
        description = ["cooperative or chaiyaphruek (default: cooperative)."],
    )
    lateinit var deployment: String

    @Option(
        names = ["--duration-s"],
        paramLabel = "S",
        defaultValue = "30",
        description = ["Time for which callers send, at least as long as the steps need; 1..40 (default: 30)."],
    )
    var durationS: Int = 30

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val selected =
            Deployment.BY_NAME[deployment]
                ?: throw ParameterException(spec.commandLine(), "--deployment: expected cooperative or chaiyaphruek, found '$deployment'")
        if (durationS !in DURATIONS_S) {
            throw ParameterException(spec.commandLine(), "--duration-s: expected a whole number from 1 to 40, found $durationS")
        }
        limitLogsToWarnings()
        val report = Demo(selected, seed, durationS, spec.commandLine().out).run()
        spec.commandLine().out.println(Json.document(report))
        spec.commandLine().out.flush()
        return if (report.ok) ExitCode.OK else ExitCode.FAILED
    }

    // The thirteen nodes of the process would log each step, which the demo already prints.
    private fun limitLogsToWarnings() {
        (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as? Logger)?.level = Level.WARN
    }

    private companion object {
        val DURATIONS_S = 1..40
    }
}
