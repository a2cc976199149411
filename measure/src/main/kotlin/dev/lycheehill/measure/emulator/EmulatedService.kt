package dev.lycheehill.measure.emulator

/**
 * A service with [servers] backend servers in each zone.
 *
 * @property slots requests that a backend server runs at a time.
 */
data class EmulatedService(
    val name: String,
    val serversPerZone: Int,
    val slots: Int,
)
