package dev.lycheehill.cli.settings

import arrow.core.Either
import dev.lycheehill.node.settings.HostPort
import dev.lycheehill.node.settings.LoadedSettings
import dev.lycheehill.node.settings.SettingsError
import dev.lycheehill.node.settings.SettingsReader

/**
 * Settings of the command `backend`, which runs a stand-in for a backend server.
 *
 * @property service name of the service that the server announces.
 * @property address address to bind.
 * @property nodeApi address of the local API of the server's node.
 * @property leaseMs duration of the lease of an announcement, in milliseconds.
 * @property slots maximum number of calls that run concurrently.
 * @property maxQueue maximum number of waiting calls.
 * @property medianMs median service time of a call, in milliseconds.
 * @property p99Ms 99th percentile of the service time of a call, in milliseconds.
 * @property seed seed of the service times.
 */
data class BackendCommandSettings(
    val service: String,
    val address: HostPort,
    val nodeApi: HostPort,
    val leaseMs: Int,
    val slots: Int,
    val maxQueue: Int,
    val medianMs: Int,
    val p99Ms: Int,
    val seed: Int,
) {
    companion object {
        private val NAME = Regex("[a-z0-9][a-z0-9-]{0,62}")

        /** Parses settings from the TOML text [text]. Error messages contain the name [file]. */
        fun parse(
            file: String,
            text: String,
        ): Either<SettingsError, LoadedSettings<BackendCommandSettings>> =
            SettingsReader.read(file, text) { reader ->
                BackendCommandSettings(
                    service = reader.string("backend.service", form = NAME, expected = "a name of lower-case letters, digits and dashes"),
                    address = reader.address("backend.address"),
                    nodeApi = reader.address("backend.node_api"),
                    leaseMs = reader.int("backend.lease_ms", 5_000, 1_000..60_000, "milliseconds"),
                    slots = reader.int("backend.slots", 10, 1..10_000, "calls"),
                    maxQueue = reader.int("backend.max_queue", 1_000, 0..100_000, "calls"),
                    medianMs = reader.int("backend.median_ms", 3, 0..60_000, "milliseconds"),
                    p99Ms = reader.int("backend.p99_ms", 20, 0..600_000, "milliseconds"),
                    seed = reader.int("backend.seed", 1, 0..Int.MAX_VALUE, "seed"),
                )
            }
    }
}
