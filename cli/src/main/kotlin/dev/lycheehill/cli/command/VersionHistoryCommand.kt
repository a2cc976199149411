package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.output.Json
import dev.lycheehill.cli.publish.VersionHistory
import dev.lycheehill.platformlog.publish.PublishResult
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Base class of the commands that read the version history from the platform's log. Some of them then publish a patch. */
abstract class VersionHistoryCommand : Callable<Int> {
    @Mixin
    lateinit var log: LogOption

    @Mixin
    lateinit var output: OutputOption

    @Spec
    lateinit var spec: CommandSpec

    /**
     * Runs [action] with the history of the log. Returns [unreachableExitCode] if the log cannot be read.
     *
     * A command that publishes gives [ExitCode.NOT_KNOWN], because an earlier run of the command may have sent the patch; the
     * operator is then told so.
     */
    protected fun withVersionHistory(
        unreachableExitCode: Int = ExitCode.FAILED,
        action: (VersionHistory) -> Int,
    ): Int =
        VersionHistory.read(log.client()).fold(
            {
                spec.commandLine().err.println("lycheehill: cannot read the log at ${log.address}: ${it.message}")
                if (unreachableExitCode == ExitCode.NOT_KNOWN) spec.commandLine().out.println(NOTHING_SENT)
                unreachableExitCode
            },
            action,
        )

    /** Returns the content of the patch file [file]. */
    protected fun readPatchText(file: Path): String {
        if (!Files.isReadable(file)) throw ParameterException(spec.commandLine(), "cannot read $file")
        return Files.readString(file)
    }

    /** Prints [result] and returns its exit code. */
    protected fun show(result: PublishResult): Int {
        val out = spec.commandLine().out
        if (output.json) out.println(Json.document(result)) else out.println(result.message)
        out.flush()
        return result.exitCode
    }

    private companion object {
        const val NOTHING_SENT =
            "not known yet: this command sent nothing, but an earlier run may have sent the patch; retry when the log responds"
    }
}
