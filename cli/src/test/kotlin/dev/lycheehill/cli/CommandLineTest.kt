package dev.lycheehill.cli

import com.sun.net.httpserver.HttpServer
import dev.lycheehill.cli.settings.BackendCommandSettings
import dev.lycheehill.cli.settings.LogCommandSettings
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import picocli.CommandLine
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.PrintWriter
import java.io.StringWriter
import java.net.InetAddress
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path

/** Guards against changed exit codes, commands without an example, and example files that no longer load. */
class CommandLineTest {
    private val out = StringWriter()
    private val commandLine = newCommandLine().setOut(PrintWriter(out)).setErr(PrintWriter(out))

    @Test
    fun `the help text lists all commands and exit codes as in the golden file`() {
        commandLine.execute("--help")

        expectThat(out.toString()).isEqualTo(Files.readString(Path.of("src/test/resources/help.txt")))
    }

    @Test
    fun `the help text of each command shows an example`() {
        expectThat(allCommands(commandLine).map { it.usageMessage }).all { contains(Regex("Example: .*lycheehill")) }
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "bogus | 2",
            "show nothing | 2",
            "publish | 2",
            "publish src/test/resources/missing.toml --base 1 | 2",
            "demo --deployment other | 2",
            "demo --duration-s 0 | 2",
            "status --node nowhere | 2",
            "node --settings ../docs/examples/log.toml | 2",
            "status --node 127.0.0.1:1 | 1",
            "publish ../docs/examples/log.toml --base 1 --log 127.0.0.1:1 | 5",
            "check ../docs/examples/log.toml | 4",
            "node --settings ../docs/examples/node.toml --print-settings | 0",
        ],
    )
    fun `exit codes distinguish wrong usage, failures and outcomes of a patch`(
        arguments: String,
        exitCode: Int,
    ) {
        expectThat(commandLine.execute(*arguments.trim().split(' ').toTypedArray())).isEqualTo(exitCode)
    }

    @ParameterizedTest
    @CsvSource(
        "accepted,        13, 13, 0",
        "accepted,        13, 9,  3",
        "refused,         0,  0,  4",
        "not-known-yet,   0,  0,  5",
        "too-old-to-tell, 0,  0,  5",
    )
    fun `status returns the exit code of the outcome of the patch`(
        outcome: String,
        nodes: Int,
        inForce: Int,
        exitCode: Int,
    ) {
        val body = """{"outcome":"$outcome","in_force":{"nodes":$nodes,"nodes_in_force":$inForce,"lagging_zones":[]}}"""
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        server.createContext("/v1/status/7-abc") { exchange ->
            exchange.sendResponseHeaders(200, body.length.toLong())
            exchange.responseBody.use { it.write(body.toByteArray()) }
        }
        server.start()

        val actual = commandLine.execute("status", "7-abc", "--json", "--node", "127.0.0.1:${server.address.port}")
        server.stop(0)

        expectThat(actual).isEqualTo(exitCode)
        expectThat(out.toString().trim()).isEqualTo(body)
    }

    @Test
    fun `the example settings of the stand-ins load`() {
        val log = LogCommandSettings.parse("log.toml", Files.readString(Path.of("../docs/examples/log.toml")))
        val backend = BackendCommandSettings.parse("backend.toml", Files.readString(Path.of("../docs/examples/backend.toml")))

        expectThat(log.isRight() && backend.isRight()).isTrue()
    }

    private fun allCommands(parent: CommandLine): List<CommandLine> =
        listOf(parent) +
            parent.subcommands.values
                .distinct()
                .flatMap(::allCommands)
}
