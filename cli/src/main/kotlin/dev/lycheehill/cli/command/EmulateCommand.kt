package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.measure.emulator.DecisionPolicies
import dev.lycheehill.measure.emulator.EmulatedScenarios
import dev.lycheehill.measure.emulator.PolicyExperiment
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Command that compares policies of the nodes by a simulation in virtual time. */
@Command(
    name = "emulate",
    mixinStandardHelpOptions = true,
    description = [
        "Plays emulated days under several policies of the nodes, in virtual time, and prints what callers get.",
        "The difference is against the decisions as built, over the same seeds, with its 95% interval.",
    ],
    footer = ["", "Example: lycheehill emulate --day short-crest --policy as-built,no-margin --seeds 20"],
)
class EmulateCommand : Callable<Int> {
    @Option(names = ["--day"], paramLabel = "NAME", split = ",", description = ["Days to play (default: all)."])
    var scenarioNames: List<String> = emptyList()

    @Option(names = ["--policy"], paramLabel = "NAME", split = ",", description = ["Policies to compare (default: all)."])
    var policies: List<String> = emptyList()

    @Option(names = ["--seeds"], paramLabel = "N", defaultValue = "20", description = ["Number of seeds, from 1 on (default: 20)."])
    var seeds: Int = 0

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        if (seeds < 1) throw ParameterException(spec.commandLine(), "--seeds must be at least 1")
        val experiment =
            PolicyExperiment(
                scenarios = select(EmulatedScenarios.all, scenarioNames, "day"),
                policies = select(DecisionPolicies.all, policies, "policy"),
                seeds = (1L..seeds).toList(),
            )
        val out = spec.commandLine().out
        experiment.run {
            out.println(it.summaryLine())
            out.flush()
        }
        return ExitCode.OK
    }

    private fun <T> select(
        known: Map<String, T>,
        names: List<String>,
        kind: String,
    ): List<T> =
        names.ifEmpty { known.keys.toList() }.map {
            known[it] ?: throw ParameterException(spec.commandLine(), "no $kind '$it'; there are ${known.keys.joinToString()}")
        }
}
