package dev.lycheehill.node.settings

import arrow.core.Either

/**
 * Settings of one node. They do not change while the node runs.
 *
 * @property nodeId unique in the fleet.
 * @property zone availability zone of the instance.
 * @property seeds control addresses of nodes that a starting node asks first.
 * @property logAddress HTTP address of the platform's log.
 * @property leaseMs time without a message from the target after which it counts as leaving, in milliseconds.
 * @property shutdownMs time that a graceful shutdown waits for calls in flight, in milliseconds.
 * @property tls TLS between nodes; null means plain TCP.
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
        /** Reads settings from TOML [text]. [file] names the source in messages. */
        fun parse(
            file: String,
            text: String,
        ): Either<SettingsError, LoadedSettings<NodeSettings>> = SettingsReader.read(file, text, ::readNodeSettings)
    }
}
