package dev.lycheehill.cli.settings

import arrow.core.Either
import dev.lycheehill.node.settings.HostPort
import dev.lycheehill.node.settings.LoadedSettings
import dev.lycheehill.node.settings.SettingsError
import dev.lycheehill.node.settings.SettingsReader

/**
 * Settings of the stand-in for the platform's log.
 *
 * @property address HTTP address to listen on.
 * @property delayMs delay of each answer, in milliseconds.
 * @property maxAppendsPerS appends beyond this rate are answered 429.
 * @property retainRecords records kept in each stream.
 */
data class LogCommandSettings(
    val address: HostPort,
    val delayMs: Int,
    val maxAppendsPerS: Int,
    val retainRecords: Int,
) {
    companion object {
        /** Reads settings from TOML [text]. [file] names the source in messages. */
        fun parse(
            file: String,
            text: String,
        ): Either<SettingsError, LoadedSettings<LogCommandSettings>> =
            SettingsReader.read(file, text) { reader ->
                LogCommandSettings(
                    address = reader.address("log.address"),
                    delayMs = reader.int("log.delay_ms", 0, 0..60_000, "milliseconds"),
                    maxAppendsPerS = reader.int("log.max_appends_per_s", 300, 1..100_000, "appends"),
                    retainRecords = reader.int("log.retain_records", 100_000, 1..10_000_000, "records"),
                )
            }
    }
}
