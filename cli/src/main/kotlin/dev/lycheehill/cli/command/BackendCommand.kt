package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.client.NodeClient
import dev.lycheehill.cli.program.TargetAnnouncer
import dev.lycheehill.cli.program.TargetMessage
import dev.lycheehill.cli.settings.BackendCommandSettings
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.BackendStandIn
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import picocli.CommandLine.Command

/** Command that runs a stand-in for a backend server. */
@Command(
    name = "backend",
    mixinStandardHelpOptions = true,
    description = ["Runs a stand-in for a backend server and announces it to the node beside it."],
    footer = ["", "Example: lycheehill backend --settings docs/examples/backend.toml"],
)
class BackendCommand : LongRunningCommand() {
    override fun call(): Int {
        val settings = settingsOption.load(spec.commandLine(), BackendCommandSettings::parse) ?: return ExitCode.OK
        val backend = BackendStandIn(backendSettings(settings)).start()
        val message = TargetMessage(settings.service, backend.address, settings.slots, settings.leaseMs.toLong())
        val announcer = TargetAnnouncer(NodeClient(settings.nodeApi), message)
        announcer.start()
        return runUntilSignal {
            announcer.close()
            backend.close()
        }
    }

    private fun backendSettings(settings: BackendCommandSettings) =
        BackendSettings(
            host = settings.address.host,
            port = settings.address.port,
            slots = settings.slots,
            maxQueue = settings.maxQueue,
            shortCalls = ServiceTimeDistribution(settings.medianMs.toDouble(), settings.p99Ms.toDouble()),
            seed = settings.seed.toLong(),
        )
}
