package dev.lycheehill.node.settings

/**
 * Files for TLS between nodes. A node rejects a peer without a certificate from the fleet's certificate authority.
 *
 * @property certificateFile path of the certificate chain of this node, in PEM.
 * @property keyFile path of the private key of this node, in PKCS #8 PEM.
 * @property authorityFile path of the certificates of the fleet's certificate authority, in PEM.
 */
data class TlsSettings(
    val certificateFile: String,
    val keyFile: String,
    val authorityFile: String,
)
