package dev.lycheehill.node.settings

import arrow.core.Either

/**
 * Settings of one node. They do not change while the node runs.
 *
 * @property nodeId id of the node, unique in the fleet.
 * @property zone availability zone of the instance.
 * @property region region of the instance.
 * @property seeds control addresses of the nodes that a starting node contacts first.
 * @property logAddress HTTP address of the platform's log.
 * @property leaseMs default lease in milliseconds: a target whose lease expires without a new announcement counts as draining.
 * @property shutdownMs maximum time in milliseconds that a graceful shutdown waits for the calls in flight.
 * @property tls files for TLS between nodes; null for plain TCP.
 */
data class NodeSettings(
    val nodeId: String,
    val zone: String,
    val region: String,
    val addresses: NodeAddresses = NodeAddresses(),
    val seeds: List<HostPort> = emptyList(),
    val logAddress: HostPort,
    val leaseMs: Int = 5_000,
    val shutdownMs: Int = 30_000,
    val limits: NodeLimits = NodeLimits(),
    val tls: TlsSettings? = null,
    val tracing: TracingSettings = TracingSettings(),
) {
    companion object {
        /** Parses the settings in the TOML [text], or returns all errors in it. The error messages name [file] as the source. */
        fun parse(
            file: String,
            text: String,
        ): Either<SettingsError, LoadedSettings<NodeSettings>> = SettingsReader.read(file, text, ::readNodeSettings)
    }
}
