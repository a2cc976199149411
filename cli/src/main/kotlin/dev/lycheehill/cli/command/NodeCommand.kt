package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.program.LogBackedNode
import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.node.settings.NodeSettings
import dev.lycheehill.platformlog.http.HttpLogSettings
import dev.lycheehill.platformlog.http.HttpPlatformLog
import io.github.oshai.kotlinlogging.KotlinLogging
import picocli.CommandLine.Command
import java.net.URI
import kotlin.random.Random

/** Command that runs a node. */
@Command(
    name = "node",
    mixinStandardHelpOptions = true,
    description = ["Runs a node. On SIGTERM it drains, ends its calls and leaves the fleet."],
    footer = ["", "Example: lycheehill node --settings docs/examples/node.toml"],
)
class NodeCommand : LongRunningCommand() {
    override fun call(): Int {
        val settings = settingsOption.load(spec.commandLine(), NodeSettings::parse) ?: return ExitCode.OK
        val log = HttpPlatformLog(HttpLogSettings(URI.create("http://${settings.logAddress}")))
        val process = LogBackedNode(settings, log, SystemTimerService(), seed = Random.nextLong())
        process.start()
        logger.info { "started node=${settings.nodeId} zone=${settings.zone} egress=${process.egressAddress}" }
        return runUntilSignal {
            logger.info { "draining node=${settings.nodeId}" }
            process.stop()
            logger.info { "stopped node=${settings.nodeId}" }
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
