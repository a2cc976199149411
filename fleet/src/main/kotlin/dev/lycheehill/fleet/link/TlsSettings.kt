package dev.lycheehill.fleet.link

import java.nio.file.Path

/**
 * PEM files for mutual TLS between nodes.
 *
 * @property certificate the node's certificate, followed by its chain.
 * @property privateKey the node's private key in PKCS #8.
 * @property authority certificate of the fleet's authority; a peer without a certificate signed by it is refused.
 */
data class TlsSettings(
    val certificate: Path,
    val privateKey: Path,
    val authority: Path,
)
