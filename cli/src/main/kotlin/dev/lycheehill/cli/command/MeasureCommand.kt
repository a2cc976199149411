package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.measure.calls.CallMeasureCommand
import dev.lycheehill.measure.fleet.FleetMeasureCommand
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Command that runs one measurement. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = ["Runs one measurement and prints its figures as one line."],
    footer = ["", "Example: lycheehill measure head-of-line --seed 7"],
)
class MeasureCommand : Callable<Int> {
    @Parameters(paramLabel = "NAME", description = ["Name of the measurement; a wrong name lists all."])
    lateinit var name: String

    @Option(names = ["--seed"], paramLabel = "N", defaultValue = "1", description = ["Seed of all random choices (default: 1)."])
    var seed: Long = 1

    @Option(
        names = ["--deployment"],
        paramLabel = "NAME",
        defaultValue = "cooperative",
        description = ["cooperative or chaiyaphruek (default: cooperative)."],
    )
    lateinit var deployment: String

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val callMeasurements = CallMeasureCommand.measurements.map { it.name }
        val fleetMeasurements = FleetMeasureCommand.measurements().map { it.name }
        val arguments = arrayOf(name, seed.toString(), deployment)
        when (name) {
            in callMeasurements -> CallMeasureCommand.main(arguments)
            in fleetMeasurements -> FleetMeasureCommand.main(arguments)
            else -> throw ParameterException(
                spec.commandLine(),
                "no measurement '$name'; there are ${(callMeasurements + fleetMeasurements).sorted().joinToString()}",
            )
        }
        return ExitCode.OK
    }
}
