package dev.lycheehill.cli.command

import dev.lycheehill.node.settings.HostPort
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.http.HttpLogSettings
import dev.lycheehill.platformlog.http.HttpPlatformLog
import picocli.CommandLine.Option
import java.net.URI

/** Option with the address of the platform's log. */
class LogOption {
    @Option(
        names = ["--log"],
        paramLabel = "HOST:PORT",
        defaultValue = "\${env:LYCHEEHILL_LOG:-127.0.0.1:7000}",
        converter = [HostPortConverter::class],
        description = ["Platform's log (default: \$LYCHEEHILL_LOG, else 127.0.0.1:7000)."],
    )
    lateinit var address: HostPort

    /** Creates a client of the log. */
    fun client(): PlatformLog = HttpPlatformLog(HttpLogSettings(URI.create("http://$address")))
}
