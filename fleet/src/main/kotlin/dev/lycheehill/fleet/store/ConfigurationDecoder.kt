package dev.lycheehill.fleet.store

import arrow.core.Either

/** Decodes configuration records that operators write to the store. */
fun interface ConfigurationDecoder {
    /** Returns the configuration in [value], null when [key] is not a configuration key, or the reason why [value] cannot be decoded. */
    fun decode(
        key: String,
        value: ByteArray,
    ): Either<String, VersionedContent?>
}
