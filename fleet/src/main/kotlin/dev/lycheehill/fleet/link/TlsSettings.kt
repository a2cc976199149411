package dev.lycheehill.fleet.link

import java.nio.file.Path

/**
 * PEM files for mutual TLS between nodes.
 *
 * @property certificate certificate of the node, followed by its chain.
 * @property privateKey private key of the node in PKCS #8.
 * @property authority certificate of the fleet's certificate authority. A peer whose certificate it did not sign is refused.
 */
data class TlsSettings(
    val certificate: Path,
    val privateKey: Path,
    val authority: Path,
)
