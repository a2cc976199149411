package dev.lycheehill.cli.command

import dev.lycheehill.cli.client.NodeClient
import dev.lycheehill.node.settings.HostPort
import picocli.CommandLine.Option

/** Option with the address of a node's local API. */
class NodeOption {
    @Option(
        names = ["--node"],
        paramLabel = "HOST:PORT",
        defaultValue = "\${env:LYCHEEHILL_NODE:-127.0.0.1:7103}",
        converter = [HostPortConverter::class],
        description = ["Local API of any node (default: \$LYCHEEHILL_NODE, else 127.0.0.1:7103)."],
    )
    lateinit var address: HostPort

    /** Creates a client of the node. */
    fun client(): NodeClient = NodeClient(address)
}
