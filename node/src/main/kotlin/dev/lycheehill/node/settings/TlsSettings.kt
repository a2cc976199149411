package dev.lycheehill.node.settings

/**
 * Files for TLS between nodes. A peer without a certificate of the fleet's authority is refused.
 *
 * @property certificateFile certificate chain of this node in PEM.
 * @property keyFile private key in PKCS #8 PEM.
 * @property authorityFile certificates of the fleet's certificate authority in PEM.
 */
data class TlsSettings(
    val certificateFile: String,
    val keyFile: String,
    val authorityFile: String,
)
