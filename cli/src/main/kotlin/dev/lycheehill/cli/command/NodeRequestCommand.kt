package dev.lycheehill.cli.command

import arrow.core.Either
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.client.ClientError
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Base of the commands that ask one node and print its answer. */
abstract class NodeRequestCommand : Callable<Int> {
    @Mixin
    lateinit var node: NodeOption

    @Mixin
    lateinit var output: OutputOption

    @Spec
    lateinit var spec: CommandSpec

    /** Prints [answer] and returns the exit code. */
    protected fun show(answer: Either<ClientError, JsonNode>): Int =
        answer.fold(
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
