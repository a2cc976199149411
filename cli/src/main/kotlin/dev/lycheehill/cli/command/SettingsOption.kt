package dev.lycheehill.cli.command

import arrow.core.Either
import dev.lycheehill.node.settings.LoadedSettings
import dev.lycheehill.node.settings.SettingsError
import picocli.CommandLine
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import java.nio.file.Files
import java.nio.file.Path

/** Options of the commands that read a settings file. */
class SettingsOption {
    @Option(names = ["--settings"], paramLabel = "FILE", required = true, description = ["Settings in TOML; see docs/examples."])
    lateinit var file: Path

    @Option(names = ["--print-settings"], description = ["Print the values in effect, with secrets masked, and end."])
    var print: Boolean = false

    /**
     * Loads the settings file with [parse].
     *
     * @param parse parses settings; its arguments are the name of the file and the TOML text.
     * @return the settings, or null if `--print-settings` is set and the settings have been printed instead.
     */
    fun <T> load(
        commandLine: CommandLine,
        parse: (String, String) -> Either<SettingsError, LoadedSettings<T>>,
    ): T? {
        if (!Files.isReadable(file)) throw ParameterException(commandLine, "cannot read $file")
        val loaded = parse(file.toString(), Files.readString(file)).fold({ throw ParameterException(commandLine, "$it") }, { it })
        if (!print) return loaded.settings
        commandLine.out.print(loaded.render())
        commandLine.out.flush()
        return null
    }
}
