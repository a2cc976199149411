package dev.lycheehill.cli

import dev.lycheehill.cli.command.LycheehillCommand
import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs the command line and exits with its exit code. */
fun main(args: Array<String>) {
    exitProcess(newCommandLine().execute(*args))
}

/** Creates the command line with all commands. */
fun newCommandLine(): CommandLine =
    CommandLine(LycheehillCommand())
        .setUsageHelpWidth(USAGE_WIDTH)
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler { exception, commandLine, _ ->
            commandLine.err.println("lycheehill: ${exception.message ?: exception.javaClass.simpleName}")
            ExitCode.FAILED
        }

private const val USAGE_WIDTH = 100
