package dev.lycheehill.measure.emulator

/**
 * A service of an emulated scenario.
 *
 * @property serversPerZone number of backend servers in each availability zone.
 * @property slots number of requests that a backend server executes concurrently.
 */
data class EmulatedService(
    val name: String,
    val serversPerZone: Int,
    val slots: Int,
)
