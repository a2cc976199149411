package dev.lycheehill.fleet.dissemination

/**
 * Encoded home epochs.
 *
 * @property nextOffset offset in stream `homes` that follows the last folded home epoch.
 */
class HomeEpochs(
    val bytes: ByteArray,
    val nextOffset: Long,
)
