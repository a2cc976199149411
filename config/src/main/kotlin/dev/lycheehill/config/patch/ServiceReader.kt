package dev.lycheehill.config.patch

import dev.lycheehill.config.model.Service
import dev.lycheehill.config.toml.TomlTable

/** Reads a service from its table in section `services` of a patch. */
internal object ServiceReader {
    fun read(
        name: String,
        table: TomlTable,
    ): Service {
        val defaults = Service(name)
        return Service(
            name = name,
            timeoutMs = table.int("timeout_ms", PatchLimits.TIMEOUT_MS, "milliseconds") ?: defaults.timeoutMs,
            maxInFlightPerTarget =
                table.int("max_in_flight_per_target", PatchLimits.IN_FLIGHT_CALLS, "calls") ?: defaults.maxInFlightPerTarget,
            maxQueue = table.int("max_queue", PatchLimits.QUEUED_CALLS, "calls") ?: defaults.maxQueue,
            hedgePercent = table.int("hedge_percent", PatchLimits.HEDGE_PERCENT, "percent") ?: defaults.hedgePercent,
        )
    }
}
