package dev.lycheehill.fleet.store

import arrow.core.Either

/** Reads the operator's configuration record. */
fun interface ConfigurationDecoder {
    /** Returns the configuration, null when the record [key] holds something else, or why [value] cannot be read. */
    fun decode(
        key: String,
        value: ByteArray,
    ): Either<String, VersionedContent?>
}
