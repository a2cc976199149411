package dev.lycheehill.cli.settings

import arrow.core.Either
import dev.lycheehill.node.settings.HostPort
import dev.lycheehill.node.settings.LoadedSettings
import dev.lycheehill.node.settings.SettingsError
import dev.lycheehill.node.settings.SettingsReader

/**
 * Settings of the command `log`, which runs a stand-in for the platform's log.
 *
 * @property address HTTP address to bind.
 * @property delayMs delay of each response, in milliseconds.
 * @property maxAppendsPerS maximum rate of appends per second; appends above the rate get status 429.
 * @property retainRecords maximum number of records that each stream retains.
 */
data class LogCommandSettings(
    val address: HostPort,
    val delayMs: Int,
    val maxAppendsPerS: Int,
    val retainRecords: Int,
) {
    companion object {
        /** Parses settings from the TOML text [text]. Error messages contain the name [file]. */
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
