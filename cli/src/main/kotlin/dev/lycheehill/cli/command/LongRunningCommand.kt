package dev.lycheehill.cli.command

import dev.lycheehill.cli.ExitCode
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Base class of the commands that run until the process receives a termination signal. */
abstract class LongRunningCommand : Callable<Int> {
    @Mixin
    lateinit var settingsOption: SettingsOption

    @Spec
    lateinit var spec: CommandSpec

    /** Blocks until the process receives a termination signal, then calls [stop]. */
    protected fun runUntilSignal(stop: () -> Unit): Int {
        val never = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread({ stop() }, "shutdown"))
        never.await()
        return ExitCode.OK
    }
}
