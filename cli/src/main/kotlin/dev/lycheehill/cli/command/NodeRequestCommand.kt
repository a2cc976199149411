package dev.lycheehill.cli.command

import arrow.core.Either
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.client.ClientError
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Base class of the commands that send a request to one node and print the response. */
abstract class NodeRequestCommand : Callable<Int> {
    @Mixin
    lateinit var node: NodeOption

    @Mixin
    lateinit var output: OutputOption

    @Spec
    lateinit var spec: CommandSpec

    /** Prints [response] or the error and returns the exit code. */
    protected fun show(response: Either<ClientError, JsonNode>): Int =
        response.fold(
            {
                spec.commandLine().err.println("lycheehill: ${it.message}")
                ExitCode.FAILED
            },
            {
                output.print(it, spec.commandLine().out)
                ExitCode.OK
            },
        )
}
