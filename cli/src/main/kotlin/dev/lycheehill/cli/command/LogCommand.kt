package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.settings.LogCommandSettings
import dev.lycheehill.platformlog.memory.LogFaults
import dev.lycheehill.standins.log.LogStandIn
import io.github.oshai.kotlinlogging.KotlinLogging
import picocli.CommandLine.Command

/** Command that runs a stand-in for the platform's log. */
@Command(
    name = "log",
    mixinStandardHelpOptions = true,
    description = ["Runs a stand-in for the platform's log. It keeps its records in memory."],
    footer = ["", "Example: lycheehill log --settings docs/examples/log.toml"],
)
class LogCommand : LongRunningCommand() {
    override fun call(): Int {
        val settings = settingsOption.load(spec.commandLine(), LogCommandSettings::parse) ?: return ExitCode.OK
        val server = LogStandIn(settings.address.host, settings.address.port)
        server.faults =
            LogFaults(
                delayMs = settings.delayMs.toLong(),
                maxAppendsPerS = settings.maxAppendsPerS,
                retainRecords = settings.retainRecords,
            )
        server.start()
        logger.info { "log stand-in started address=${server.baseUri}" }
        return runUntilSignal(server::close)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
