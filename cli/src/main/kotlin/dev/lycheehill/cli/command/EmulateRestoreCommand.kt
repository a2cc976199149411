package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.measure.emulator.store.RestoreScenario
import dev.lycheehill.measure.emulator.store.RestoreSummary
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Command that shows how a fleet recovers when its store comes back from an older copy, by a simulation in virtual time. */
@Command(
    name = "emulate-restore",
    mixinStandardHelpOptions = true,
    description = [
        "Plays the return of the platform's store from an older copy, in virtual time, for fleets of several sizes.",
        "Prints median and maximum of the times until a new configuration is in force and until lost records are back, and the calls.",
    ],
    footer = ["", "Example: lycheehill emulate-restore --nodes 13,100,300 --cut 0.9 --seeds 20"],
)
class EmulateRestoreCommand : Callable<Int> {
    @Option(
        names = ["--nodes"],
        paramLabel = "N",
        split = ",",
        defaultValue = "13,100",
        description = ["Sizes of the fleet (default: 13,100)."],
    )
    var nodeCounts: List<Int> = emptyList()

    @Option(names = ["--cut"], paramLabel = "SHARE", defaultValue = "0.9", description = ["Share of the nodes cut off (default: 0.9)."])
    var cutShare: Double = 0.0

    @Option(names = ["--seeds"], paramLabel = "N", defaultValue = "20", description = ["Number of seeds, from 1 on (default: 20)."])
    var seeds: Int = 0

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        if (seeds < 1) throw ParameterException(spec.commandLine(), "--seeds must be at least 1")
        if (cutShare !in 0.0..1.0) throw ParameterException(spec.commandLine(), "--cut must be from 0 to 1")
        if (nodeCounts.any { it < 1 }) throw ParameterException(spec.commandLine(), "--nodes must be at least 1")
        val out = spec.commandLine().out
        nodeCounts.forEach { nodes ->
            out.println(RestoreSummary.of(RestoreScenario(nodes, cutShare = cutShare), (1L..seeds).toList()).line())
            out.flush()
        }
        return ExitCode.OK
    }
}
